import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const MODULE = fileURLToPath(new URL('contain_exceptions.ts', import.meta.url))
const SCRIPT = `
  const { containExceptions } = await import(${JSON.stringify(MODULE)})
  containExceptions({ write: (subject, { what }) => console.log(subject, what), dropped: () => 0, end: async () => {} })
  setTimeout(() => { throw new Error('in a timer') }, 10)
  setTimeout(() => { Promise.reject(new Error('of a promise')) }, 20)
  setTimeout(() => { console.log('goes on') }, 30)
`

// An exception outside of the event loop ended the process with all its open requests.
test('an exception that nothing catches does not end the process', async (t) => {
  const child = spawn(process.execPath, ['--import=tsx', '--conditions=source', '--input-type=module', '--eval', SCRIPT], { stdio: ['ignore', 'pipe', 'inherit'] })
  let printed = ''
  child.stdout.on('data', (chunk: Buffer) => { printed += chunk.toString() })
  const [code] = await once(child, 'close') as readonly unknown[]
  t.is(code, 0)
  t.is(printed, 'process uncaught_exception\nprocess unhandled_rejection\ngoes on\n')
})

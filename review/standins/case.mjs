import { openRecord } from './record.mjs'
import { startInstances } from './platform.mjs'
import { startStore } from './store.mjs'

const HELD = 0
const BROKEN = 1
const NOT_RUN = 2
const LIMIT_MS = 115_000
const READY_MS = 12_000
const MAX_STARTS = 3

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/**
 * Runs a case: starts the store and the instances, lets `play` act, and ends the process with 1 if the rule was broken, 0 if it held and
 * 2 if the case could not run. `play` returns whether the rule was broken and a line that says why.
 */
export async function runCase (folder, { count, prepare, play }) {
  const record = openRecord(folder)
  const trouble = process.env.TROUBLE !== '0'
  const store = await startStore()
  let system
  const end = async (code, text) => {
    record.write('case', text)
    record.flush()
    await system?.stop()
    record.flush()
    process.stdout.write(`${text}\n`)
    process.exit(code)
  }
  setTimeout(() => { end(NOT_RUN, 'could not run: out of time').catch(() => process.exit(NOT_RUN)) }, LIMIT_MS).unref()
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => { end(NOT_RUN, 'could not run: stopped').catch(() => process.exit(NOT_RUN)) })
  try {
    const prepared = await prepare({ store, record, trouble })
    for (let tries = 1; system === undefined; tries += 1) {
      const started = await startInstances({ count, store, record })
      system = started
      if (await started.allReady(READY_MS)) break
      if (tries === MAX_STARTS) return await end(NOT_RUN, 'could not run: the system did not become ready')
      // Another process may have taken one of the ports meanwhile.
      await started.stop()
      system = undefined
    }
    const { broken, text, ran = true } = await play({ store, record, system, trouble, ...prepared })
    if (!ran) return await end(NOT_RUN, `could not run: ${text}`)
    await end(broken ? BROKEN : HELD, `${broken ? 'broken' : 'held'}: ${text}`)
  } catch (error) {
    await end(NOT_RUN, `could not run: ${error.stack}`)
  }
}

import { createServer, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import type { Flood, FloodReport } from './_test_soak_floods.ts'

/** Interval between the requests of a caller that does not wait for responses, in ms; that of the users' runs. */
const IMPATIENT_INTERVAL_MS = 30
/** Interval between a response and the next request of a caller that waits for responses, in ms; that of the users' runs. */
const KEPT_INTERVAL_MS = 100
/** Bytes that an impatient caller has not got rid of, above which it sends no more. */
const MAX_UNSENT_BYTES = 64 * 1024
/** `MaxBodyBytes` of the manifests, and the part that a stalled upload does not send. */
const UPLOAD_BYTES = 4 * 1024 * 1024
const UNSENT_BYTES = 300
const RESPONSE_BYTES = 8 * 1024 * 1024
const HALF_HEAD_BYTES = 15_000
const RECONNECT_MS = 100
const WORK_MS = 40
const BUSY_WORK_MS = 3000

const response = Buffer.alloc(RESPONSE_BYTES, 'x')
const upload = Buffer.alloc(UPLOAD_BYTES, '-')
let sent = 0

function headOf (path: string, fields: readonly string[]): string {
  sent += 1
  return [`POST ${path} HTTP/1.1`, 'Host: api.example', `Attempt-Id: flood-${sent}`, 'Deadline-Ms: 9000', ...fields, '\r\n'].join('\r\n')
}

const small = (): string => headOf(sent % 4 === 0 ? '/nowhere/' : '/floods/small', ['Content-Length: 0'])

// What a caller of each kind does with its connection; the returned function ends it.
const BEHAVIOUR: Readonly<Record<Flood['kind'], (socket: Socket) => () => void>> = {
  impatient: (socket) => {
    const timer = setInterval(() => { if (socket.writableLength < MAX_UNSENT_BYTES) socket.write(small()) }, IMPATIENT_INTERVAL_MS)
    return () => clearInterval(timer)
  },
  kept: (socket) => {
    const send = (): void => { if (!socket.destroyed) socket.write(small()) }
    socket.on('data', () => setTimeout(send, KEPT_INTERVAL_MS))
    send()
    return () => {}
  },
  unread: (socket) => {
    socket.pause()
    socket.write(headOf('/floods/large', ['Content-Length: 0']))
    return () => {}
  },
  stalled_uploads: (socket) => {
    socket.write(headOf('/floods/small', [`Content-Length: ${UPLOAD_BYTES}`]))
    socket.write(upload.subarray(UNSENT_BYTES))
    return () => {}
  },
  waiting_uploads: (socket) => {
    socket.write(headOf('/floods/busy', [`Content-Length: ${UPLOAD_BYTES}`]))
    socket.write(upload)
    return () => {}
  },
  burst: (socket) => {
    socket.write(small())
    return () => {}
  },
  half_heads: (socket) => {
    socket.write(headOf('/floods/small', ['']).slice(0, -4) + `Padding: ${'p'.repeat(HALF_HEAD_BYTES)}`)
    return () => {}
  }
}

async function run ({ kind, port, connections, durationMs }: Flood): Promise<number> {
  const sockets = new Set<Socket>()
  let [isOver, responses] = [false, 0]
  const open = (): void => {
    if (isOver) return
    const socket = connect({ host: '127.0.0.1', port, noDelay: true })
    let end = (): void => {}
    sockets.add(socket)
    socket.once('connect', () => { end = BEHAVIOUR[kind](socket) })
    socket.on('data', () => { responses += 1 })
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      end()
      setTimeout(open, RECONNECT_MS).unref()
    })
  }
  for (let i = 0; i < connections; i += 1) open()
  await new Promise((resolve) => setTimeout(resolve, durationMs))
  isOver = true
  for (const socket of sockets) socket.destroy()
  return responses
}

// The flood's own upstream spares the process that judges.
function answer (path: string, id: string, reply: ServerResponse): void {
  const bytes = path === '/floods/large' ? RESPONSE_BYTES : 2
  setTimeout(() => {
    reply.writeHead(200, { 'Attempt-Id': id, 'Server-Signature': `flood.${id}`, 'Content-Length': bytes }).end(response.subarray(0, bytes))
  }, path === '/floods/busy' ? BUSY_WORK_MS : WORK_MS)
}

function report (what: FloodReport): void {
  process.send?.(what)
}

const upstream = createServer((request, reply) => {
  request.resume()
  request.on('end', () => answer(request.url ?? '', String(request.headers['attempt-id']), reply))
  reply.on('error', () => {})
})
upstream.listen(0, '127.0.0.1', () => {
  const address = upstream.address()
  if (typeof address === 'object' && address !== null) report({ upstreamPort: address.port })
})
process.on('message', (flood: Flood) => {
  run(flood).then((responses) => report({ id: flood.id, responses })).catch((error: unknown) => { process.stderr.write(`${String(error)}\n`) })
})
process.on('disconnect', () => process.exit())

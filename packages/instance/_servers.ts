import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Time for which an address that is in use is tried again, in ms; a process that is being stopped still holds its ports. */
const IN_USE_TIMEOUT_MS = 10_000
const IN_USE_INTERVAL_MS = 50

/** Starts a server and returns the port that it listens on. Rejects if the address is not available, also after some seconds. */
export async function listen (server: Server, port: number, address: string): Promise<number> {
  const untilMs = performance.now() + IN_USE_TIMEOUT_MS
  for (;;) {
    const error = await _tryListen(server, port, address)
    if (error === undefined) return (server.address() as AddressInfo).port
    if (error.code !== 'EADDRINUSE' || performance.now() >= untilMs) throw error
    await new Promise((resolve) => setTimeout(resolve, IN_USE_INTERVAL_MS))
  }
}

function _tryListen (server: Server, port: number, address: string): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise((resolve) => {
    server.once('error', resolve)
    server.listen(port, address, () => {
      server.removeListener('error', resolve)
      resolve(undefined)
    })
  })
}

/** Stops a server and closes its open connections. */
export function close (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

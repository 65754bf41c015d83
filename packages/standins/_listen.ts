import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Server that listens on the loopback interface. */
export interface Listener {
  readonly port: number
  /** Host and port, separated by a colon. */
  readonly address: string
  /** Stops the server and closes all of its connections. */
  close (): Promise<void>
}

/** Starts a server and resolves once it accepts connections. */
export async function listen (server: Server, port: number): Promise<Listener> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  const bound = (server.address() as AddressInfo).port
  const close = (): Promise<void> => new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
  return { port: bound, address: `127.0.0.1:${bound}`, close }
}

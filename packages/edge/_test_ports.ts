import { createServer, type Server } from 'node:net'

/** Binds a port and returns the server that holds it, or undefined if the port cannot be bound. */
export function holdPort (port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer((socket) => { socket.destroy() })
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

/** Ends a server that holds a port. */
export function releasePort (server: Server | undefined): Promise<void> {
  return new Promise((resolve) => server === undefined ? resolve() : server.close(() => resolve()))
}

/** Returns whether `count` ports from the first one on can be bound. */
export async function arePortsFree (first: number, count: number): Promise<boolean> {
  const held = await Promise.all(Array.from({ length: count }, (_, i) => holdPort(first + i)))
  await Promise.all(held.map(releasePort))
  return !held.includes(undefined)
}

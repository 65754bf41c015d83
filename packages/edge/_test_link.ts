import { connect, createServer, type Server, type Socket } from 'node:net'
import { freePorts } from './_test_program.ts'

/**
 * How a link is cut: open connections are reset or go silent or live on, and new ones are refused, or go silent in the second case.
 */
export type Cut = 'reset' | 'silent' | 'refused'

/** A TCP link that can be cut, between one instance and one upstream. */
export interface TestLink {
  /** Address at which the instance reaches the upstream. */
  readonly address: string
  cut (how: Cut): Promise<void>
  heal (): Promise<void>
  close (): void
}

/** Starts a link to a local port. */
export async function startTestLink (target: number): Promise<TestLink> {
  const sockets = new Set<Socket>()
  let silent = false
  const server: Server = createServer((near) => {
    const far = connect(target, '127.0.0.1')
    for (const [from, to] of [[near, far], [far, near]] as const) {
      sockets.add(from)
      from.on('error', () => to.destroy())
      from.on('close', () => {
        sockets.delete(from)
        to.destroy()
      })
      from.on('data', (chunk) => { if (!silent) to.write(chunk) })
    }
  })
  const listen = (port: number): Promise<void> => new Promise((resolve) => server.listen(port, '127.0.0.1', resolve))
  // A port that the system gives to outgoing connections could be taken while the link is cut.
  const { front: port } = await freePorts()
  await listen(port)

  return {
    address: `127.0.0.1:${port}`,
    cut: async (how) => {
      silent = how === 'silent'
      if (how === 'silent') return
      server.close()
      if (how === 'reset') for (const socket of sockets) socket.resetAndDestroy()
    },
    heal: async () => {
      silent = false
      if (!server.listening) await listen(port)
    },
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

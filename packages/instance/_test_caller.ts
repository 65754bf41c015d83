import { connect, type Socket } from 'node:net'
import { EXAMPLE_KEY } from './_test_system.ts'

/** Caller that writes bytes of its choice on one connection and collects what arrives. */
export interface RawCaller {
  readonly socket: Socket
  /** Returns what has arrived so far. */
  received (): string
  /** Resolves when the connection has closed, with everything that arrived. */
  readonly closed: Promise<string>
}

/** Opens a connection that stays open for sending after the other side has ended. */
export function openCaller (port: number): Promise<RawCaller> {
  return new Promise((resolve, reject) => {
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
    let text = ''
    socket.on('data', (chunk: Buffer) => { text += chunk.toString() })
    socket.on('end', () => socket.end())
    const closed = new Promise<string>((resolve) => socket.on('close', () => resolve(text)))
    socket.once('connect', () => {
      socket.on('error', () => {})
      resolve({ socket, received: () => text, closed })
    })
    socket.once('error', reject)
  })
}

/** Returns the bytes of a POST request of the example customer. */
export function requestBytes (path: string, body: unknown, headers: readonly string[] = []): string {
  const text = JSON.stringify(body)
  return [`POST ${path} HTTP/1.1`, 'host: a', `authorization: Bearer ${EXAMPLE_KEY}`, 'x-deadline-ms: 9000', `content-length: ${Buffer.byteLength(text)}`, ...headers, '', text].join('\r\n')
}

/** Returns the status codes of the final responses in a text, in their order. */
export function statusesOf (text: string): readonly number[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => Number(match[1])).filter((status) => status >= 200)
}

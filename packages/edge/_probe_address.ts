import { connect } from 'node:net'

/** Timeout of a probe, in ms: the one of connections for requests. */
const PROBE_TIMEOUT_MS = 250

/** Reports whether a connection to an address can be opened. */
export function probeAddress (address: string): Promise<boolean> {
  const [host = '', port = ''] = address.split(':')
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), timeout: PROBE_TIMEOUT_MS })
    const end = (reached: boolean): void => {
      socket.destroy()
      resolve(reached)
    }
    socket.on('connect', () => end(true))
    socket.on('timeout', () => end(false))
    socket.on('error', () => end(false))
  })
}

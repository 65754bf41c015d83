import type { ServerResponse } from 'node:http'

/**
 * Closes the connection of a response that cannot be completed. A response without chunks ends with its connection, so an orderly end would
 * make it look complete.
 */
export function breakOff (response: ServerResponse): void {
  if (response.headersSent && !response.chunkedEncoding && response.socket !== null) response.socket.resetAndDestroy()
  else response.destroy()
}

import type { OutgoingHttpHeaders, ServerResponse } from 'node:http'

/** Sends a response with a JSON body. */
export function answerJson (response: ServerResponse, status: number, value: unknown, headers: OutgoingHttpHeaders = {}): void {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers })
  response.end(body)
}

import type { IncomingMessage } from 'node:http'

/** Reads the whole body of a request as UTF-8 text. */
export async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

import type { IncomingMessage } from 'node:http'
import { createChunkList } from './chunk_list.ts'

/**
 * Reads the body of a request up to a size limit.
 *
 * @param request The request.
 * @param limitBytes Maximum size of the body, in bytes.
 * @returns The body, or undefined if it exceeds the limit.
 *
 * @example
 * ```ts
 * const body = await readBody(request, 1024)
 * ```
 */
export async function readBody (request: IncomingMessage, limitBytes: number): Promise<Buffer | undefined> {
  const chunks = createChunkList()
  // The connection is needed for the response, and perhaps for those before it.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    chunks.add(chunk as Buffer)
    if (chunks.bytes() > limitBytes) {
      request.resume()
      return undefined
    }
  }
  return chunks.concat()
}

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { answerJson } from './_answer_json.ts'
import { listen, type Listener } from './_listen.ts'
import { readBody } from './_read_body.ts'

/** Running service stand-in. */
export interface ServiceStandIn extends Listener {
  /** Number of times that each request body has run. */
  readonly runs: ReadonlyMap<string, number>
  /**
   * Faults: `breakAfterRun` is the number of next requests whose connection breaks after they have run, `delayMs` is the
   * delay of every answer, in ms.
   */
  faults: { breakAfterRun: number, delayMs: number }
}

/**
 * Starts a stand-in for a service that serves plain HTTP requests, such as an order service.
 *
 * @param port The port to listen on; 0 for any.
 * @returns The running stand-in.
 *
 * @example
 * ```ts
 * const orders = await startServiceStandIn(0)
 * await orders.close()
 * ```
 */
export async function startServiceStandIn (port: number): Promise<ServiceStandIn> {
  const runs = new Map<string, number>()
  const faults = { breakAfterRun: 0, delayMs: 0 }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    runs.set(body, (runs.get(body) ?? 0) + 1)
    if (faults.breakAfterRun > 0) {
      faults.breakAfterRun -= 1
      response.destroy()
      return
    }
    if (faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, faults.delayMs))
    answerJson(response, 200, { path: request.url, number: runs.size }, { 'x-request-id': String(request.headers['x-request-id']) })
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy())
  })
  const listener = await listen(server, port)
  return { ...listener, runs, faults }
}

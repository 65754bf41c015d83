import type { OutgoingHttpHeaders, ServerResponse } from 'node:http'
import type { Refusal } from '@berylshed/requests'

const MS_PER_SECOND = 1000

/** Error response that the instance itself generates, as opposed to a response forwarded from an upstream. */
export interface ErrorAnswer {
  readonly status: number
  readonly code: string
  readonly message: string
  /** Whether an upstream may have run the request. */
  readonly outcome: 'not run' | 'outcome unknown'
  readonly requestId: string
  /** Delay after which a retry makes sense, in ms. */
  readonly retryAfterMs?: number | undefined
}

function _errorBody (answer: ErrorAnswer): string {
  return JSON.stringify({
    error: {
      message: answer.message,
      type: answer.status < 500 ? 'invalid_request_error' : 'server_error',
      param: null,
      code: answer.code,
      outcome: answer.outcome,
      request_id: answer.requestId
    }
  })
}

/** Sends an error response to a caller; a stream that has started ends with an error event and without `[DONE]`. */
export function answerError (response: ServerResponse, answer: ErrorAnswer): void {
  if (response.writableEnded || response.destroyed) return
  const body = _errorBody(answer)
  if (response.headersSent) {
    response.write(`event: error\ndata: ${body}\n\n`, () => response.destroy())
    return
  }
  const headers: OutgoingHttpHeaders = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-request-id': answer.requestId
  }
  if (answer.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(answer.retryAfterMs / MS_PER_SECOND)))
  response.writeHead(answer.status, headers)
  response.end(body)
}

/** Converts a refusal to an error response. */
export function refusalAnswer (requestId: string, refusal: Refusal): ErrorAnswer {
  return {
    status: refusal.status,
    code: refusal.reason,
    message: `Cannot answer request: ${refusal.reason.replaceAll('_', ' ')} (${refusal.outcome})`,
    outcome: refusal.outcome,
    requestId,
    retryAfterMs: refusal.retryAfterMs
  }
}

import type { OutgoingHttpHeaders, ServerResponse } from 'node:http'
import type { Refusal } from '@berylshed/requests'

const MS_PER_SECOND = 1000

/** What goes into an answer that is not the upstream's. */
export interface ErrorAnswer {
  readonly status: number
  readonly code: string
  readonly message: string
  readonly outcome: 'not run' | 'outcome unknown'
  readonly requestId: string
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

/** Answers a caller with an error, or ends a started stream with one and without its closing event. */
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

/** Describes a refusal to the caller. */
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

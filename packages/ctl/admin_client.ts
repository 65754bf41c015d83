import { httpCall, type HttpCall } from '@berylshed/platform'
import { err, ok, type Result } from 'neverthrow'
import { EXIT_CODE, type ExitCode } from './exit_code.ts'

const REQUEST_TIMEOUT_MS = 5000
const STATUS_CONFLICT = 409
const STATUS_UNPROCESSABLE = 422
const MIN_ERROR_STATUS = 400

/** Admin address of an instance, with the operator key. */
export interface AdminTarget {
  readonly address: string
  readonly key: string
}

/** Failure of a call of the admin API. */
export interface AdminFailure {
  readonly exitCode: ExitCode
  /** Body of the error response, or a message if there was no response. */
  readonly detail: unknown
}

/**
 * Calls the admin API of an instance.
 *
 * @param target The address and the key.
 * @param call The method, the path and the body.
 * @returns The JSON value of the response, or the failure with its exit code.
 *
 * @example
 * ```ts
 * const status = await callAdmin({ address: 'http://127.0.0.1:8100', key }, { method: 'GET', path: '/status' })
 * ```
 */
export async function callAdmin (target: AdminTarget, call: AdminCall): Promise<Result<unknown, AdminFailure>> {
  const answer = await httpCall({
    method: call.method,
    url: `${target.address}${call.path}`,
    headers: { authorization: `Bearer ${target.key}` },
    timeoutMs: REQUEST_TIMEOUT_MS,
    ...call.body === undefined ? {} : { body: call.body }
  })
  if (answer.isErr()) return err({ exitCode: EXIT_CODE.unreachable, detail: `Cannot reach ${target.address}: ${answer.error.message}` })
  const value: unknown = JSON.parse(answer.value.body)
  if (answer.value.status < MIN_ERROR_STATUS) return ok(value)
  return err({ exitCode: _exitCode(answer.value.status), detail: value })
}

/** A call of the admin API. */
export interface AdminCall {
  readonly method: HttpCall['method']
  readonly path: string
  readonly body?: string
}

function _exitCode (status: number): ExitCode {
  if (status === STATUS_CONFLICT) return EXIT_CODE.conflict
  return status === STATUS_UNPROCESSABLE ? EXIT_CODE.findings : EXIT_CODE.failed
}

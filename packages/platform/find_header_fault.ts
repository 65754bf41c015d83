import { validateHeaderName, validateHeaderValue } from 'node:http'

const TRANSFER_ENCODING = 'transfer-encoding'

/**
 * Finds what keeps the headers of a parsed message from being passed on.
 *
 * Node's parser accepts header names that its writer refuses with an exception, and leaves a body as it is if it does not know the
 * transfer coding.
 *
 * @param headers Alternating header names and values, as parsed.
 * @returns What is wrong with the first such header, or undefined if all of them can be written.
 *
 * @example
 * ```ts
 * console.log(findHeaderFault(['Weight Versions', '1'])) // 'header name "Weight Versions" is not a token'
 * ```
 */
export function findHeaderFault (headers: readonly string[]): string | undefined {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const fault = _faultOf(headers[i] ?? '', headers[i + 1] ?? '')
    if (fault !== undefined) return fault
  }
  return undefined
}

function _faultOf (name: string, value: string): string | undefined {
  if (!_isAccepted(() => validateHeaderName(name))) return `header name ${JSON.stringify(name)} is not a token`
  if (!_isAccepted(() => validateHeaderValue(name, value))) return `value ${JSON.stringify(value)} of header ${name} holds a control character`
  if (name.toLowerCase() === TRANSFER_ENCODING && value.toLowerCase() !== 'chunked') return `transfer coding ${JSON.stringify(value)} is not chunked`
  return undefined
}

function _isAccepted (validate: () => void): boolean {
  try {
    validate()
    return true
  } catch {
    return false
  }
}

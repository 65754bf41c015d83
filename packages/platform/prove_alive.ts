import type { Upstream } from '@berylshed/fleet'
import { httpCall } from './http_call.ts'

/** Longest wait for a health check's answer, in ms: many times the way there and back within a region. */
const HEALTH_TIMEOUT_MS = 300
const MISDIRECTED = 421

/**
 * Proves on a new connection that an upstream's process is still the one that was meant.
 *
 * @param upstream The upstream.
 * @param healthPath Path of its health check.
 * @returns Whether that process answered, whatever it says of its health.
 *
 * @example
 * ```ts
 * if (!await proveAlive(upstream, '/healthz')) console.log('gone')
 * ```
 */
export async function proveAlive (upstream: Upstream, healthPath: string): Promise<boolean> {
  const answer = await httpCall({
    method: 'GET',
    url: `http://${upstream.address}${healthPath}`,
    headers: { 'Expect-Instance': upstream.id },
    timeoutMs: HEALTH_TIMEOUT_MS
  })
  return answer.isOk() && answer.value.status !== MISDIRECTED
}

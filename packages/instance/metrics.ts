import { StatsD } from 'hot-shots'

/** Client for the metrics of an instance. */
export interface Metrics {
  /** Increments a counter. */
  count (name: string): void
  /** Records a duration in ms. */
  time (name: string, durationMs: number): void
  /** Sets a gauge. */
  gauge (name: string, value: number): void
  /** Sends buffered metrics and closes the socket. */
  close (): void
}

/** Address of a StatsD server. */
export interface MetricsOptions {
  readonly host: string
  readonly port: number
}

/**
 * Creates a StatsD client. Errors are ignored, so no server needs to listen at the address.
 *
 * @param options The address of the StatsD server.
 * @returns The client.
 *
 * @example
 * ```ts
 * const metrics = createMetrics({ host: '127.0.0.1', port: 8125 })
 * metrics.count('refused.queue_full')
 * ```
 */
export function createMetrics (options: MetricsOptions): Metrics {
  const statsd = new StatsD({ ...options, prefix: 'berylshed.', errorHandler: () => {}, maxBufferSize: 1400, bufferFlushInterval: 1000 })
  return {
    count: (name) => { statsd.increment(name) },
    time: (name, durationMs) => { statsd.timing(name, durationMs) },
    gauge: (name, value) => { statsd.gauge(name, value) },
    close: () => { statsd.close(() => {}) }
  }
}

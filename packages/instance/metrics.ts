import { StatsD } from 'hot-shots'

/** What an instance counts and times. */
export interface Metrics {
  count (name: string): void
  time (name: string, durationMs: number): void
  gauge (name: string, value: number): void
  close (): void
}

/** Where metrics are sent. */
export interface MetricsOptions {
  readonly host: string
  readonly port: number
}

/**
 * Creates the metrics of an instance; an address at which nobody listens costs nothing.
 *
 * @param options The address of the StatsD server.
 * @returns The metrics.
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

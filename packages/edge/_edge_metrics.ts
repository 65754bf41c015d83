import type { Server } from 'node:http'
import type { SchedulerRecord } from '@berylshed/scheduler'
import { isRequestKey, type ServingRecord } from '@berylshed/serving'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { HeldMemory } from './_admission.ts'
import { limitLabelValues } from './_label_values.ts'
import { createLimitedServer, PROBE_LIMITS } from './_limited_server.ts'

/** Buckets of the latency histograms, in seconds. Latency objectives range from 0.1 to 2 s, deadlines up to 20 s. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 1.5, 2, 4, 8, 16]
const MS_PER_SECOND = 1000
/** Maximum number of routes with values of their own: those of several large configurations. */
const MAX_ROUTES = 1000
/** Maximum number of customers with values of their own: those of several large configurations. */
const MAX_CUSTOMERS = 1000
/** Maximum number of reasons; the code has some tens. */
const MAX_REASONS = 200
/** Records whose reasons are counted; that of a quarantine is the key of what is quarantined. */
const COUNTED_REASONS: ReadonlyArray<ServingRecord['what']> = ['failed', 'refused', 'broken_off', 'upstream_unreachable', 'upstream_avoided', 'upstream_ejected', 'upstream_readmitted']
/** Maximum number of response statuses. */
const MAX_STATUSES = 40

/** Gauge values, read on each scrape. */
export interface GaugeValues {
  readonly waiting: number
  readonly open: number
  readonly configurationVersion: number
  readonly listRevision: number
  readonly storeEra: number
  readonly holdsLease: boolean
  readonly fence: number
  readonly viewAgeMs: number
  readonly droppedLines: number
  readonly bufferedBytes: number
  readonly held: HeldMemory
}

/** Metrics of an instance in the Prometheus text format. */
export interface EdgeMetrics {
  readonly server: Server
  countRequest (record: ServingRecord): void
  countRejected (status: number, reason: string): void
  countRevoked (): void
  countOrder (record: SchedulerRecord): void
  countDependency (name: string, change: 'lost' | 'regained'): void
}

/** Creates the metrics of an instance and the server that exposes them; it does not listen yet. */
export function createEdgeMetrics (gauges: () => GaugeValues): EdgeMetrics {
  const registry = new Registry()
  const registers = [registry]
  const answered = new Counter({ name: 'berylshed_answered_total', help: 'Requests that were answered by an upstream', labelNames: ['route', 'status'], registers })
  const refused = new Counter({ name: 'berylshed_refused_total', help: 'Requests that were refused, by reason', labelNames: ['reason', 'status'], registers })
  const brokenOff = new Counter({ name: 'berylshed_broken_off_total', help: 'Answers that were broken off, by reason', labelNames: ['reason'], registers })
  const callersLeft = new Counter({ name: 'berylshed_left_total', help: 'Requests whose caller left', registers })
  const rejected = new Counter({ name: 'berylshed_rejected_total', help: 'Requests turned away before they were routed', labelNames: ['status', 'reason'], registers })
  const revoked = new Counter({ name: 'berylshed_revoked_total', help: 'Requests that were ended as their key was removed', registers })
  const attempts = new Counter({ name: 'berylshed_sendings_total', help: 'Sendings to upstreams, first ones and repeats', labelNames: ['kind'], registers })
  const promptTokens = new Counter({ name: 'berylshed_prompt_tokens_total', help: 'Tokens of prompts of sticky routes that were sent, by whether the upstream was expected to keep them', labelNames: ['expected'], registers })
  const failedAttempts = new Counter({ name: 'berylshed_failed_sendings_total', help: 'Sendings that failed, by reason', labelNames: ['reason'], registers })
  const avoided = new Counter({ name: 'berylshed_upstreams_avoided_total', help: 'Times that an upstream was avoided, by reason', labelNames: ['reason'], registers })
  const ejections = new Counter({ name: 'berylshed_upstream_ejections_total', help: 'Upstreams that were ejected for their failures or readmitted, by who found them out', labelNames: ['change', 'source'], registers })
  const quarantines = new Counter({ name: 'berylshed_quarantines_total', help: 'Requests and parts of prompts that were quarantined as they crash upstreams', labelNames: ['kind'], registers })
  const limits = new Counter({ name: 'berylshed_upstream_limits_total', help: 'Limits that upstreams named or lifted in their responses', labelNames: ['change'], registers })
  const quotaRefusals = new Counter({ name: 'berylshed_quota_refusals_total', help: 'Requests that were refused as over the quota of their customer, by cause', labelNames: ['customer', 'cause'], registers })
  const quotaChanges = new Counter({ name: 'berylshed_quota_changes_total', help: 'Times that buckets were exhausted or available again, or that allowances expired or came back', labelNames: ['change'], registers })
  const orders = new Counter({ name: 'berylshed_orders_total', help: 'Orders to engines, by operation and outcome', labelNames: ['operation', 'outcome'], registers })
  const deferredLoads = new Counter({ name: 'berylshed_deferred_loads_total', help: 'Seconds in which a model that requests waited for had no engine and got none, summed over models', registers })
  const leases = new Counter({ name: 'berylshed_lease_changes_total', help: 'Changes of the lease at this instance', labelNames: ['change'], registers })
  const dependencies = new Counter({ name: 'berylshed_dependency_changes_total', help: 'Dependencies lost and regained', labelNames: ['name', 'change'], registers })
  const waitTime = new Histogram({ name: 'berylshed_wait_seconds', help: 'Time from arrival to the first sending', labelNames: ['route'], buckets: LATENCY_BUCKETS_S, registers })
  const requestTime = new Histogram({ name: 'berylshed_request_seconds', help: 'Time from arrival to the outcome', labelNames: ['route', 'outcome'], buckets: LATENCY_BUCKETS_S, registers })
  _registerGauges(gauges, registers)

  // Configurations bring new routes, upstreams odd statuses and callers errors with texts of their own.
  const [routeLabel, reasonLabel, statusLabel, customerLabel] = [limitLabelValues(MAX_ROUTES), limitLabelValues(MAX_REASONS), limitLabelValues(MAX_STATUSES), limitLabelValues(MAX_CUSTOMERS)]

  function countRequest (record: ServingRecord): void {
    const { elapsedMs = 0 } = record
    const route = routeLabel(record.route ?? '')
    const status = statusLabel(String(record.status ?? 0))
    const reason = COUNTED_REASONS.includes(record.what) ? reasonLabel(record.reason ?? '') : ''
    switch (record.what) {
      case 'sent':
        attempts.inc({ kind: record.relay !== undefined ? 'handed_over' : record.sending === 1 ? 'first' : 'repeat' })
        promptTokens.inc({ expected: 'kept' }, record.keptTokens ?? 0)
        promptTokens.inc({ expected: 'read' }, Math.max(0, (record.promptTokens ?? 0) - (record.keptTokens ?? 0)))
        if (record.sending === 1) waitTime.observe({ route }, elapsedMs / MS_PER_SECOND)
        return
      case 'failed': return failedAttempts.inc({ reason })
      case 'answered': answered.inc({ route, status }); return requestTime.observe({ route, outcome: 'answered' }, elapsedMs / MS_PER_SECOND)
      case 'refused':
        refused.inc({ reason, status })
        if (record.reason === 'quota_exceeded') quotaRefusals.inc({ customer: customerLabel(record.customer ?? ''), cause: reasonLabel(record.detail ?? '') })
        return requestTime.observe({ route, outcome: 'refused' }, elapsedMs / MS_PER_SECOND)
      case 'broken_off': return brokenOff.inc({ reason })
      case 'left': return callersLeft.inc()
      case 'upstream_unreachable':
      case 'upstream_avoided': return avoided.inc({ reason })
      case 'quota_exhausted':
      case 'quota_available':
      case 'quota_fallback':
      case 'quota_shared': return quotaChanges.inc({ change: record.what.slice('quota_'.length) })
      case 'upstream_ejected': return ejections.inc({ change: 'ejected', source: reason })
      case 'upstream_readmitted': return ejections.inc({ change: 'readmitted', source: reason })
      case 'limit_named': return limits.inc({ change: 'named' })
      case 'limit_lifted': return limits.inc({ change: 'lifted' })
      case 'quarantined': return quarantines.inc({ kind: isRequestKey(record.reason ?? '') ? 'request' : 'part' })
      default:
    }
  }

  function countOrder (record: SchedulerRecord): void {
    const { operation = '', outcome = '' } = record
    if (record.what === 'order_ended') orders.inc({ operation, outcome })
    else if (record.what === 'load_deferred') deferredLoads.inc()
    else if (record.what.startsWith('lease_')) leases.inc({ change: record.what.slice('lease_'.length) })
  }

  const server = createLimitedServer(PROBE_LIMITS, (_request, response) => {
    registry.metrics().then((text) => {
      response.writeHead(200, { 'Content-Type': registry.contentType }).end(text)
    }, (error: unknown) => {
      response.writeHead(500, { 'Content-Type': 'text/plain' }).end(error instanceof Error ? error.message : String(error))
    })
  })

  return {
    server,
    countRequest,
    countOrder,
    countRejected: (status, reason) => rejected.inc({ status, reason: reasonLabel(reason) }),
    countRevoked: () => revoked.inc(),
    countDependency: (name, change) => dependencies.inc({ name, change })
  }
}

function _registerGauges (values: () => GaugeValues, registers: Registry[]): void {
  const gauge = (name: string, help: string, read: (values: GaugeValues) => number): void => {
    registers[0]?.registerMetric(new Gauge({ name, help, registers: [], collect () { this.set(read(values())) } }))
  }
  gauge('berylshed_waiting_requests', 'Requests that wait for an upstream', ({ waiting }) => waiting)
  gauge('berylshed_open_requests', 'Requests without an outcome', ({ open }) => open)
  gauge('berylshed_configuration_version', 'Version of the configuration in force', ({ configurationVersion }) => configurationVersion)
  gauge('berylshed_registrations_revision', 'Store revision of the list of upstreams', ({ listRevision }) => listRevision)
  gauge('berylshed_store_era', 'Number of times that the store has been restored from a copy, as of the list of upstreams', ({ storeEra }) => storeEra)
  gauge('berylshed_holds_lease', 'Whether this instance holds the lease', ({ holdsLease }) => Number(holdsLease))
  gauge('berylshed_fence', 'Newest fencing token heard of', ({ fence }) => fence)
  gauge('berylshed_view_age_seconds', 'Age of the newest news from the holder of the lease', ({ viewAgeMs }) => viewAgeMs / MS_PER_SECOND)
  gauge('berylshed_buffered_response_bytes', 'Bytes of responses that are held until they can be passed on', ({ bufferedBytes }) => bufferedBytes)
  gauge('berylshed_resident_bytes', 'Resident memory of the process', ({ held }) => held.residentBytes)
  gauge('berylshed_object_bytes', 'Memory that requests and connections are estimated to hold', ({ held }) => held.objectBytes)
  gauge('berylshed_request_body_bytes', 'Bytes of request bodies', ({ held }) => held.requestBodyBytes)
  gauge('berylshed_connections', 'Open connections of callers and other instances', ({ held }) => held.connections)
  gauge('berylshed_dropped_lines', 'Log lines that were dropped', ({ droppedLines }) => droppedLines)
}

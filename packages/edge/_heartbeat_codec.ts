import type { AdapterUsage, InstanceReport, Instant, ReplicaLoad, UnmetDemand, RequestRate, UpstreamOutcomes } from '@berylshed/scheduler'
import type { EvidenceUpdate, OriginSegment, OriginUpdate } from '@berylshed/serving'
import type { QuotaAnswer, QuotaReport } from '@berylshed/limits'
import { Schema } from 'effect'
import superjson from 'superjson'
import type { HeartbeatAnswer, HeartbeatRequest, MembersUpdate, RegistryUpdate } from './heartbeat.ts'

const ReportWire = Schema.Struct({
  instance: Schema.String,
  incarnation: Schema.String,
  relayAddress: Schema.optional(Schema.String),
  ownsUpstreams: Schema.optional(Schema.Boolean),
  isolated: Schema.optional(Schema.Boolean),
  needs: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.String, Schema.Number, Schema.Array(Schema.Number)])),
  uses: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number])),
  loads: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number])),
  adapters: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.String, Schema.Number, Schema.Number])),
  // Upstream, incarnation, attempts answered and failed, and the ages of the first failure and of the last attempt that failed, in ms.
  outcomes: Schema.optional(Schema.Array(Schema.Tuple([Schema.String, Schema.Number, Schema.Number, Schema.Number, Schema.Number, Schema.Number])))
})

const EvidenceWire = Schema.Struct({
  origin: Schema.String,
  version: Schema.Number,
  suspicions: Schema.Array(Schema.Tuple([
    Schema.String, Schema.NullOr(Schema.Number), Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number, Schema.Number]))
  ])),
  quarantines: Schema.Array(Schema.Tuple([Schema.String, Schema.Number, Schema.Number])),
  processes: Schema.optional(Schema.Array(Schema.Tuple([Schema.String, Schema.NullOr(Schema.Number), Schema.Array(Schema.Tuple([Schema.String, Schema.Array(Schema.String), Schema.Number, Schema.Number]))])))
})

const OriginsWire = Schema.Struct({
  origin: Schema.String,
  version: Schema.Number,
  records: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number])),
  softwareVersions: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number]))
})

const QuotasWire = Schema.Struct({
  // Time since the last acknowledged report in ms; null if there was none.
  agoMs: Schema.NullOr(Schema.Number),
  // Customer, units spent, refunded, requested and acknowledged, and the level of the bucket; null if it is not known.
  usage: Schema.Array(Schema.Tuple([Schema.String, Schema.Number, Schema.Number, Schema.Number, Schema.Number, Schema.NullOr(Schema.Number)]))
})

type _AllowanceWire = readonly [customer: string, level: number, units: number, perS: number, othersPerS: number]

interface _QuotaAnswerWire {
  readonly allowances: readonly _AllowanceWire[]
  readonly isComplete: boolean
}

/** Wire format of a heartbeat. Tuples keep it small, as an instance sends several per second. */
export const HeartbeatWire = Schema.Struct({
  report: ReportWire,
  configurationVersion: Schema.Number,
  listRevision: Schema.Number,
  heard: Schema.Tuple([Schema.String, Schema.Number]),
  // Releases before the exchange of crash evidence require this list; it stays empty.
  crashes: Schema.Array(Schema.Tuple([Schema.String, Schema.Number])),
  receivedEvidence: Schema.optional(Schema.Tuple([Schema.String, Schema.Number])),
  evidence: Schema.optional(EvidenceWire),
  receivedOrigins: Schema.optional(Schema.Tuple([Schema.String, Schema.Number])),
  origins: Schema.optional(OriginsWire),
  historyKnown: Schema.optional(Schema.Boolean),
  wantedOrigins: Schema.optional(Schema.Array(Schema.String)),
  limits: Schema.optional(Schema.Array(Schema.Tuple([Schema.String, Schema.Number, Schema.NullOr(Schema.Number), Schema.Number]))),
  brittle: Schema.optional(Schema.Array(Schema.Tuple([Schema.String, Schema.Number, Schema.Number]))),
  members: Schema.optional(Schema.String),
  quotas: Schema.optional(QuotasWire),
  // Holder, its monotonic and wall clock in ms, and whether the sender is stopping.
  grant: Schema.optional(Schema.Tuple([Schema.String, Schema.Number, Schema.Number, Schema.Boolean])),
  news: Schema.NullOr(Schema.String)
})

/** Wire format of an answer. The view needs no encoding, as it consists of strings and numbers. */
export type AnswerWire = Omit<HeartbeatAnswer, 'update' | 'registryAgeMs' | 'evidence' | 'limits' | 'origins' | 'relays' | 'versionHistory' | 'brittle' | 'members' | 'stamp' | 'quotas' | 'ejections'> & {
  /** Absent if there are no quotas or an earlier release answers. */
  readonly quotas?: _QuotaAnswerWire
  /** Absent if there are none or an earlier release answers. */
  readonly ejections?: HeartbeatAnswer['ejections']
  /** Absent if an earlier release answers. */
  readonly stamp?: Instant
  /** Absent if an earlier release answers. */
  readonly brittle?: HeartbeatAnswer['brittle']
  /** Absent if an earlier release answers. */
  readonly members?: MembersUpdate
  /** Absent if the receiver knows it or an earlier release answers. */
  readonly versionHistory?: OriginSegment
  /** Absent if an earlier release answers. */
  readonly relays?: HeartbeatAnswer['relays']
  /** Absent if there are none or an earlier release answers. */
  readonly origins?: OriginUpdate
  /** Absent if an earlier release answers. */
  readonly limits?: HeartbeatAnswer['limits']
  /** Empty; releases before the exchange of crash evidence require it. */
  readonly crashes: readonly []
  /** Absent if there are no changes or an earlier release answers. */
  readonly evidence?: EvidenceUpdate
  readonly news: string | null
  /** Null if the holder never read the store. */
  readonly registryAgeMs: number | null
}

/** Encodes a heartbeat. */
export function encodeHeartbeat (request: HeartbeatRequest): typeof HeartbeatWire.Type {
  const { report, receivedView, receivedEvidence, evidence, receivedOrigins, origins, grant, update, quotas, ...rest } = request
  return {
    ...rest,
    crashes: [],
    receivedEvidence: [receivedEvidence.origin, receivedEvidence.version],
    ...evidence === undefined ? {} : { evidence },
    receivedOrigins: [receivedOrigins.origin, receivedOrigins.version],
    ...origins === undefined ? {} : { origins },
    heard: [receivedView.holder, receivedView.version],
    report: {
      instance: report.instance,
      incarnation: report.incarnation,
      ...report.relayAddress === undefined ? {} : { relayAddress: report.relayAddress },
      ...report.isolated === true ? { isolated: true } : {},
      ...report.ownsUpstreams === true ? { ownsUpstreams: true } : {},
      needs: report.unmetDemand.map((demand) => [demand.service, demand.model, demand.adapter ?? '', demand.waiting, demand.dueInMs.map(Math.round)] as const),
      uses: report.requestRates.map((use) => [use.service, use.model, _roundRate(use.ratePerS)] as const),
      loads: report.loads.map((load) => [load.upstream, load.model, load.running] as const),
      adapters: report.adapters.map((use) => [use.upstream, use.model, use.adapter, use.running, Math.round(use.idleMs)] as const),
      ...report.outcomes === undefined ? {} : { outcomes: report.outcomes.map((of) => [of.upstream, of.incarnation, of.answered, of.failed, Math.round(of.firstFailedAgoMs), Math.round(of.lastFailedSentAgoMs)] as const) }
    },
    ...quotas === undefined ? {} : { quotas: _encodeQuotas(quotas) },
    ...grant === undefined ? {} : { grant: [grant.holder, grant.stamp.nowMs, grant.stamp.clockMs, grant.isFinal] as const },
    news: update === undefined ? null : _encodeUpdate(update)
  }
}

/** Decodes a heartbeat. */
export function decodeHeartbeat (wire: typeof HeartbeatWire.Type): HeartbeatRequest {
  const { report, heard: [holder, version], receivedEvidence: [origin, evidenceVersion] = ['', 0], receivedOrigins: [originsFrom, originsVersion] = ['', 0], configurationVersion, listRevision, news } = wire
  return {
    configurationVersion,
    listRevision,
    receivedView: { holder, version },
    receivedEvidence: { origin, version: evidenceVersion },
    evidence: wire.evidence,
    receivedOrigins: { origin: originsFrom, version: originsVersion },
    origins: wire.origins,
    wantedOrigins: wire.wantedOrigins ?? [],
    historyKnown: wire.historyKnown ?? true,
    limits: wire.limits ?? [],
    brittle: wire.brittle ?? [],
    members: wire.members ?? '',
    grant: wire.grant === undefined ? undefined : { holder: wire.grant[0], stamp: { nowMs: wire.grant[1], clockMs: wire.grant[2] }, isFinal: wire.grant[3] },
    ...wire.quotas === undefined ? {} : { quotas: _decodeQuotas(wire.quotas) },
    report: _decodeReport(report),
    update: news === null ? undefined : _decodeUpdate(news)
  }
}

function _encodeQuotas ({ usage, acknowledgedAgoMs }: QuotaReport): typeof QuotasWire.Type {
  return {
    agoMs: acknowledgedAgoMs === Infinity ? null : Math.round(acknowledgedAgoMs),
    usage: usage.map((item) => [item.customer, item.spent, item.refunded, item.requested, item.acknowledged, item.level === undefined ? null : _roundUnits(item.level)] as const)
  }
}

function _decodeQuotas ({ agoMs, usage }: typeof QuotasWire.Type): QuotaReport {
  return {
    acknowledgedAgoMs: agoMs ?? Infinity,
    usage: usage.map(([customer, spent, refunded, requested, acknowledged, level]) => ({ customer, spent, refunded, requested, acknowledged, level: level ?? undefined }))
  }
}

function _encodeQuotaAnswer ({ allowances, isComplete }: QuotaAnswer): _QuotaAnswerWire {
  return { isComplete, allowances: allowances.map(({ customer, level, units, perS, othersPerS }) => [customer, _roundUnits(level), _roundUnits(units), _roundUnits(perS), _roundUnits(othersPerS)] as const) }
}

function _decodeQuotaAnswer ({ allowances, isComplete }: _QuotaAnswerWire): QuotaAnswer {
  return { isComplete, allowances: allowances.map(([customer, level, units, perS, othersPerS]) => ({ customer, level, units, perS, othersPerS })) }
}

function _decodeReport (wire: typeof ReportWire.Type): InstanceReport {
  return {
    instance: wire.instance,
    incarnation: wire.incarnation,
    ...wire.relayAddress === undefined ? {} : { relayAddress: wire.relayAddress },
    ...wire.isolated === true ? { isolated: true } : {},
    ...wire.ownsUpstreams === true ? { ownsUpstreams: true } : {},
    unmetDemand: wire.needs.map(([service, model, adapter, waiting, dueInMs]): UnmetDemand => ({ service, model, adapter: adapter === '' ? undefined : adapter, waiting, dueInMs })),
    requestRates: wire.uses.map(([service, model, ratePerS]): RequestRate => ({ service, model, ratePerS })),
    loads: wire.loads.map(([upstream, model, running]): ReplicaLoad => ({ upstream, model, running })),
    adapters: wire.adapters.map(([upstream, model, adapter, running, idleMs]): AdapterUsage => ({ upstream, model, adapter, running, idleMs })),
    ...wire.outcomes === undefined ? {} : { outcomes: wire.outcomes.map(([upstream, incarnation, answered, failed, firstFailedAgoMs, lastFailedSentAgoMs]): UpstreamOutcomes => ({ upstream, incarnation, answered, failed, firstFailedAgoMs, lastFailedSentAgoMs })) }
  }
}

/** Encodes the answer to a heartbeat. */
export function encodeHeartbeatAnswer (answer: HeartbeatAnswer): AnswerWire {
  const { update, registryAgeMs, evidence, origins, versionHistory, members, stamp, quotas, ejections, ...rest } = answer
  return { ...rest, ...quotas === undefined ? {} : { quotas: _encodeQuotaAnswer(quotas) }, ...ejections.length === 0 ? {} : { ejections }, ...stamp === undefined ? {} : { stamp }, ...members === undefined ? {} : { members }, ...versionHistory === undefined ? {} : { versionHistory }, crashes: [], ...evidence === undefined ? {} : { evidence }, ...origins === undefined ? {} : { origins }, registryAgeMs: registryAgeMs === Infinity ? null : Math.round(registryAgeMs), news: update === undefined ? null : _encodeUpdate(update) }
}

/** Decodes the answer to a heartbeat. */
export function decodeHeartbeatAnswer (wire: AnswerWire): HeartbeatAnswer {
  const { news, registryAgeMs, crashes: _unused, evidence, origins, limits = [], relays = [], brittle = [], members, stamp, versionHistory, quotas, ejections = [], ...rest } = wire
  return { ...rest, ...quotas === undefined ? {} : { quotas: _decodeQuotaAnswer(quotas) }, ejections, stamp, versionHistory, relays, brittle, members, evidence, origins, limits, registryAgeMs: registryAgeMs ?? Infinity, update: news === null ? undefined : _decodeUpdate(news) }
}

// Three digits suffice for quotas of a few requests per second, and keep messages small.
function _roundUnits (units: number): number {
  return Math.round(units * 1000) / 1000
}

function _roundRate (ratePerS: number): number {
  return Math.round(ratePerS * 100) / 100
}

const encodedUpdates = new WeakMap<RegistryUpdate, string>()

// Configurations contain maps, which plain JSON cannot represent. Instances that lack the same changes get the same update, and encoding one of
// hundreds of models takes milliseconds.
function _encodeUpdate (update: RegistryUpdate): string {
  const known = encodedUpdates.get(update)
  if (known !== undefined) return known
  const encoded = superjson.stringify(update)
  encodedUpdates.set(update, encoded)
  return encoded
}

function _decodeUpdate (text: string): RegistryUpdate {
  return superjson.parse<RegistryUpdate>(text)
}

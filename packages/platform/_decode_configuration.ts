import type { Configuration, EngineSpec, RouteKind, Route, Service } from '@berylshed/fleet'
import { checkDocument, type Finding } from '@berylshed/settings'
import { Schema } from 'effect'
import type { Result } from 'neverthrow'
import { decodeCustomers } from './_decode_customers.ts'

const MS_PER_SECOND = 1000
/** Default maximum wait for the headers of a request, in ms; Node's own default. */
const DEFAULT_HEADER_TIMEOUT_MS = 60_000

const WireRoute = Schema.Struct({
  Name: Schema.String,
  Hostname: Schema.String,
  PathPrefix: Schema.String,
  RouteKind: Schema.Literals(['streaming', 'idempotent', 'non_idempotent']),
  TimeoutMs: Schema.optionalKey(Schema.Number),
  // Latency objective.
  GoalMs: Schema.optionalKey(Schema.Number),
  // Longest pause between events with which a response is still on time.
  GapTargetMs: Schema.optionalKey(Schema.Number),
  // Rank; 0 is the highest priority.
  Priority: Schema.optionalKey(Schema.Number),
  Service: Schema.optionalKey(Schema.String),
  Split: Schema.optionalKey(Schema.Array(Schema.Struct({ Service: Schema.String, Weight: Schema.Number }))),
  // Number of upstreams that may execute one request, not the number of attempts.
  Attempts: Schema.optionalKey(Schema.Number),
  Resumable: Schema.optionalKey(Schema.Boolean),
  // Callers need no key.
  Anonymous: Schema.optionalKey(Schema.Boolean),
  Sticky: Schema.optionalKey(Schema.Boolean)
})

const WireModel = Schema.Struct({
  Name: Schema.String,
  WeightsMb: Schema.Number,
  LoadTimeS: Schema.Number,
  DiskS: Schema.optionalKey(Schema.Number),
  // Load time from the upstream's host memory; does not mean a warmed-up engine.
  WarmS: Schema.optionalKey(Schema.Number),
  AdapterSizeMb: Schema.optionalKey(Schema.Number)
})

const WireEngine = Schema.Struct({
  Slots: Schema.Number,
  // Memory for the weights and adapters of all models, unlike the field of the same name in a model.
  WeightsMb: Schema.Number,
  AdapterSlots: Schema.optionalKey(Schema.Number),
  LoadsPerS: Schema.optionalKey(Schema.Number),
  // Tokens of the prompt cache and of running requests together.
  KvCapacity: Schema.optionalKey(Schema.Number),
  Models: Schema.Array(WireModel)
})

const WireConfiguration = Schema.Struct({
  Version: Schema.Number,
  Routes: Schema.Array(WireRoute),
  Services: Schema.Array(Schema.Struct({
    Name: Schema.String,
    Engine: Schema.optionalKey(WireEngine)
  })),
  Limits: Schema.optionalKey(Schema.Struct({
    MaxBodyBytes: Schema.optionalKey(Schema.Number),
    HeaderTimeoutMs: Schema.optionalKey(Schema.Number),
    IdleTimeoutMs: Schema.optionalKey(Schema.Number)
  })),
  // Customers; decoded apart, as one that is malformed must not make the rest unusable.
  Tenants: Schema.optionalKey(Schema.Unknown)
})

/** Default timeout of a route, in ms; the longest timeout that the deployments use. */
const DEFAULT_TIMEOUT_MS = 30_000
/** Default latency objective of a route, in ms. */
const DEFAULT_OBJECTIVE_MS = 1000
/** Callers of a stream leave after the longest of this time without an event, in ms, four objectives and eight of the pauses that are still on time. */
const MIN_PATIENCE_MS = 2000
const PATIENCE_PER_OBJECTIVE = 4
const PATIENCE_PER_PAUSE = 8
/** Default rank of a route; lower in priority than every rank that the deployments set. */
const DEFAULT_RANK = 5
/** Default limit of the request body, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
/** Default time for which a caller can reuse an idle connection, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000

/** Decodes the operator's configuration. Findings that leave the configuration usable are passed to `report`. */
export function decodeConfiguration (value: unknown, source: string, report: (findings: readonly Finding[]) => void = () => {}): Result<Configuration, readonly Finding[]> {
  return checkDocument(value, WireConfiguration, { source, unknownKeys: 'ignored' }).map((wire) => {
    const { customers, findings } = decodeCustomers(wire.Tenants, source)
    if (findings.length > 0) report(findings)
    return { ..._toConfiguration(wire), ...customers === undefined ? {} : { customers } }
  })
}

function _toConfiguration (wire: typeof WireConfiguration.Type): Configuration {
  return {
    version: wire.Version,
    routes: wire.Routes.map(_toRoute),
    services: new Map(wire.Services.map((service): [string, Service] => [service.Name, {
      name: service.Name,
      engine: service.Engine === undefined ? undefined : _toEngine(service.Engine)
    }])),
    limits: {
      maxBodyBytes: wire.Limits?.MaxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      headerTimeoutMs: wire.Limits?.HeaderTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS,
      idleTimeoutMs: wire.Limits?.IdleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS
    }
  }
}

function _toRoute (wire: typeof WireRoute.Type): Route {
  const repetition: RouteKind = wire.RouteKind
  const objectiveMs = wire.GoalMs ?? DEFAULT_OBJECTIVE_MS
  const single = wire.Service === undefined ? [] : [{ service: wire.Service, weight: 1 }]
  return {
    name: wire.Name,
    host: wire.Hostname,
    pathPrefix: wire.PathPrefix,
    repetition,
    timeoutMs: wire.TimeoutMs ?? DEFAULT_TIMEOUT_MS,
    objectiveMs,
    ...repetition === 'streaming' ? { patienceMs: Math.max(MIN_PATIENCE_MS, PATIENCE_PER_OBJECTIVE * objectiveMs, PATIENCE_PER_PAUSE * (wire.GapTargetMs ?? 0)) } : {},
    rank: wire.Priority ?? DEFAULT_RANK,
    maxAttempts: wire.Attempts ?? 1,
    resumable: wire.Resumable ?? false,
    ...wire.Anonymous === true ? { anonymous: true } : {},
    ...wire.Sticky === true ? { sticky: true } : {},
    services: wire.Split?.map(({ Service: service, Weight: weight }) => ({ service, weight })) ?? single
  }
}

function _toEngine (wire: typeof WireEngine.Type): EngineSpec {
  return {
    slots: wire.Slots,
    memoryMb: wire.WeightsMb,
    adapterPlaces: wire.AdapterSlots ?? 0,
    loadsPerSecond: wire.LoadsPerS ?? 1,
    ...wire.KvCapacity === undefined ? {} : { kvCapacity: wire.KvCapacity },
    models: new Map(wire.Models.map((model) => {
      const storeLoadMs = model.LoadTimeS * MS_PER_SECOND
      const diskLoadMs = model.DiskS === undefined ? storeLoadMs : model.DiskS * MS_PER_SECOND
      return [model.Name, {
        name: model.Name,
        memoryMb: model.WeightsMb,
        storeLoadMs,
        diskLoadMs,
        memoryLoadMs: model.WarmS === undefined ? diskLoadMs : model.WarmS * MS_PER_SECOND,
        adapterMb: model.AdapterSizeMb ?? 0
      }]
    }))
  }
}

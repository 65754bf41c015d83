import { checkDocument, type Finding } from '@berylshed/settings'
import { Schema } from 'effect'
import { err, type Result } from 'neverthrow'

/** Time limits and retry budget that the platform guarantees or requires. */
export interface PlatformBounds {
  /** Time after an upstream leaves within which it must stop receiving work, in ms. */
  readonly upstreamDrainMs: number
  /** Time without a heartbeat of an upstream after which the store removes its registration, in ms. */
  readonly registrationTtlMs: number
  /** Time within which a new configuration must take effect, in ms. */
  readonly configurationMs: number
  /** Time between the request to stop and the forced termination of the process, in ms. */
  readonly shutdownGraceMs: number
  /** Retries that each first attempt adds to the retry budget, across all instances. */
  readonly retryBudgetRatio: number
  /** Retries per window that are allowed regardless of the number of first attempts, across all instances. */
  readonly freeRetriesPerWindow: number
  /** Window over which the retry budget is computed, in ms. */
  readonly retryWindowMs: number
  /** Whether engines reject orders with an outdated fencing token. */
  readonly enginesCheckFence: boolean
  /** Minimum time between the orders of two successive lease holders if engines do not check fencing tokens, in ms. */
  readonly holderChangeMs: number
  /** Time after a key's removal is in force within which running requests of the key must end, in ms; absent if they continue. */
  readonly revocationMs?: number
}

/** Identity, addresses and limits that the platform assigns to a process. */
export interface HostSettings {
  readonly instance: string
  readonly availabilityZone: string
  /** Host and port on which the process accepts callers. */
  readonly callerAddress: string
  /** Host and port on which the load balancer checks readiness. */
  readonly readinessAddress: string
  /** Host and port on which the process accepts other instances. */
  readonly peerAddress: string
  /** Host and port on which the process takes over requests of other instances. */
  readonly relayAddress: string
  /** Host and port on which metrics are served. */
  readonly metricsAddress: string
  /** Host and port of the platform's store. */
  readonly storeAddress: string
  /** Writes per second that the store takes from all instances together. */
  readonly storeWritesPerS: number
  /** Whether the whole system starts for the first time, so that no earlier process has left anything in the store. */
  readonly firstStart: boolean
  /** Resident memory above which the platform ends the process, in bytes. */
  readonly memoryBytes: number
  /** Number of file descriptors that the process may hold, of which the platform reserves some for files. */
  readonly maxDescriptors: number
  readonly bounds: PlatformBounds
}

// The platform writes null where it has no value.
const OptionalNumber = Schema.optionalKey(Schema.NullOr(Schema.Number))

const WireSettings = Schema.Struct({
  NodeName: Schema.NonEmptyString,
  Ip: Schema.NonEmptyString,
  Zone: Schema.NonEmptyString,
  // `Front` accepts callers, `Ready` the load balancer, `Control` the other instances.
  Listen: Schema.Struct({ Front: Schema.NonEmptyString, Ready: Schema.NonEmptyString, Control: Schema.NonEmptyString }),
  InternalPorts: Schema.Tuple([Schema.Int, Schema.Int]),
  Bootstrap: Schema.optionalKey(Schema.NullOr(Schema.Boolean)),
  // Interval between the heartbeats of an upstream to the store.
  HeartbeatMs: OptionalNumber,
  Limits: Schema.optionalKey(Schema.NullOr(Schema.Struct({ MemoryMb: OptionalNumber, MaxFds: OptionalNumber }))),
  Bounds: Schema.Struct({
    DrainMs: Schema.Number,
    ConfigMs: Schema.Number,
    GraceS: Schema.Number,
    RetryBudgetRatio: Schema.Number,
    RetrySlack: Schema.Number,
    BudgetWindowS: Schema.Number,
    FencingEnforced: Schema.Boolean,
    LeaseMs: Schema.Number,
    // Whether running requests of a removed key end, and within which time.
    StrictRevocation: Schema.optionalKey(Schema.NullOr(Schema.Boolean)),
    RevokeMs: OptionalNumber
  }),
  Platform: Schema.Struct({ Address: Schema.NonEmptyString, WritesPerS: OptionalNumber })
})

const MS_PER_SECOND = 1000
const BYTES_PER_MB = 1024 * 1024
/** Default memory of a process, in MB; that of the smallest instances of the first deployments. */
const DEFAULT_MEMORY_MB = 480
/** Default number of file descriptors; those of the smallest instances of the first deployments. */
const DEFAULT_MAX_DESCRIPTORS = 6300
/** Default rate of writes that the store takes, per second; the lowest one of the deployments so far. */
const DEFAULT_STORE_WRITES_PER_S = 400
/** Default interval between the heartbeats of an upstream, in ms; the one of all deployments so far. */
const DEFAULT_HEARTBEAT_MS = 1200
/** Default time within which running requests of a removed key must end, in ms: the time within which new configurations take effect in the deployments so far. */
const DEFAULT_REVOCATION_MS = 3000
/** Missed heartbeats after which the store removes a registration. */
const MAX_MISSED_HEARTBEATS = 3

/**
 * Parses the settings file that the platform provides to a process.
 *
 * @param text Contents of the file.
 * @param source Name of the file, used in findings.
 * @returns The settings, or all findings with their locations in the file.
 *
 * @example
 * ```ts
 * const settings = readHostSettings(await readFile(path, 'utf8'), path)
 * ```
 */
export function readHostSettings (text: string, source: string): Result<HostSettings, readonly Finding[]> {
  const parsed = _parseJson(text)
  if (parsed === undefined) return err([{ source, line: undefined, path: '', message: 'Not a JSON document' }])
  return checkDocument(parsed, WireSettings, { source, unknownKeys: 'ignored' }).map((wire) => ({
    instance: wire.NodeName,
    availabilityZone: wire.Zone,
    callerAddress: wire.Listen.Front,
    readinessAddress: wire.Listen.Ready,
    peerAddress: wire.Listen.Control,
    relayAddress: `${wire.Ip}:${wire.InternalPorts[0] + 1}`,
    metricsAddress: `${wire.Ip}:${wire.InternalPorts[0]}`,
    storeAddress: wire.Platform.Address,
    firstStart: wire.Bootstrap ?? false,
    storeWritesPerS: wire.Platform.WritesPerS ?? DEFAULT_STORE_WRITES_PER_S,
    memoryBytes: _positiveOr(wire.Limits?.MemoryMb, DEFAULT_MEMORY_MB) * BYTES_PER_MB,
    maxDescriptors: Math.floor(_positiveOr(wire.Limits?.MaxFds, DEFAULT_MAX_DESCRIPTORS)),
    bounds: {
      upstreamDrainMs: wire.Bounds.DrainMs,
      registrationTtlMs: MAX_MISSED_HEARTBEATS * (wire.HeartbeatMs ?? DEFAULT_HEARTBEAT_MS),
      configurationMs: wire.Bounds.ConfigMs,
      shutdownGraceMs: wire.Bounds.GraceS * MS_PER_SECOND,
      retryBudgetRatio: wire.Bounds.RetryBudgetRatio,
      freeRetriesPerWindow: wire.Bounds.RetrySlack,
      retryWindowMs: wire.Bounds.BudgetWindowS * MS_PER_SECOND,
      enginesCheckFence: wire.Bounds.FencingEnforced,
      holderChangeMs: wire.Bounds.LeaseMs,
      ...wire.Bounds.StrictRevocation === true ? { revocationMs: wire.Bounds.RevokeMs ?? DEFAULT_REVOCATION_MS } : {}
    }
  }))
}

// A machine without a stated limit must not be taken for one without memory.
function _positiveOr (value: number | null | undefined, fallback: number): number {
  return value !== undefined && value !== null && value >= 1 ? value : fallback
}

function _parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // The caller reports the invalid JSON as a finding.
    return undefined
  }
}

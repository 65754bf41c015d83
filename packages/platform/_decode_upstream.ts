import type { LocalCopies, EngineReport, ResidentModel, Upstream } from '@berylshed/fleet'
import { checkDocument, type Finding } from '@berylshed/settings'
import { Schema } from 'effect'
import { err, type Result } from 'neverthrow'

const WireResidents = Schema.Array(Schema.Struct({
  Name: Schema.String,
  Adapters: Schema.optionalKey(Schema.Array(Schema.String))
}))

// Models that can be loaded without the weight store, not models that can serve requests.
const WireCopies = Schema.Struct({
  InMemory: Schema.optionalKey(Schema.Array(Schema.String)),
  OnDisk: Schema.optionalKey(Schema.Array(Schema.String))
})

/** Maximum number of requests that an upstream can claim to run at once; far above that of any engine. */
const MAX_SLOTS = 100_000
const MAX_PORT = 65_535

const WireUpstream = Schema.Struct({
  Service: Schema.String,
  // Host and port; connections to anything else fail with an exception.
  Address: Schema.String.check(Schema.makeFilter((address: string) => _isAddress(address) || 'Expected HOST:PORT with a port from 1 to 65535')),
  Zone: Schema.String,
  // Of the upstream's software, not of the weights of a model.
  Version: Schema.optionalKey(Schema.String),
  Slots: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: MAX_SLOTS })),
  State: Schema.Literals(['ready', 'draining']),
  // `Sequence` is omitted: in a registration it counts heartbeats, unlike in a report, where it counts orders.
  Models: Schema.optionalKey(WireResidents),
  Available: Schema.optionalKey(WireCopies),
  born: Schema.optionalKey(Schema.Int)
})

const WireReport = Schema.Struct({
  Models: WireResidents,
  Busy: Schema.Boolean,
  // Number of orders accepted since the engine started.
  Sequence: Schema.Number,
  Queued: Schema.optionalKey(Schema.Number),
  Active: Schema.optionalKey(Schema.Number),
  // Adapters that are being loaded, as MODEL/NAME@VERSION.
  Pending: Schema.optionalKey(Schema.Array(Schema.String)),
  Available: Schema.optionalKey(WireCopies),
  born: Schema.optionalKey(Schema.Int)
})

function _isAddress (address: string): boolean {
  const port = Number(/^[\w.-]+:(\d{1,5})$/.exec(address)?.[1] ?? 0)
  return port >= 1 && port <= MAX_PORT
}

/** Decodes the registration of an upstream; a malformed entry of another writer yields findings. */
export function decodeUpstream (id: string, value: unknown): Result<Upstream, readonly Finding[]> {
  // The id is sent in a header.
  if (!/^[\x21-\x7e]+$/.test(id)) return err([{ source: `upstream ${JSON.stringify(id)}`, line: undefined, path: '', message: 'Expected a name of printable ASCII characters without spaces' }])
  return checkDocument(value, WireUpstream, { source: `upstream ${id}`, unknownKeys: 'ignored' }).map((wire): Upstream => ({
    id,
    service: wire.Service,
    address: wire.Address,
    availabilityZone: wire.Zone,
    incarnation: wire.born ?? 0,
    softwareVersion: wire.Version ?? '',
    slots: wire.Slots,
    leaving: wire.State === 'draining',
    residents: _toResidents(wire.Models),
    copies: _toCopies(wire.Available)
  }))
}

/** Decodes the state report of an engine. */
export function decodeReport (id: string, value: unknown): Result<EngineReport, readonly Finding[]> {
  return checkDocument(value, WireReport, { source: `report of ${id}`, unknownKeys: 'ignored' }).map((wire): EngineReport => ({
    incarnation: wire.born,
    sequence: wire.Sequence,
    busy: wire.Busy,
    residents: _toResidents(wire.Models),
    pendingAdapters: (wire.Pending ?? []).map((adapter) => adapter.split('@')[0] ?? adapter),
    copies: _toCopies(wire.Available),
    active: wire.Active ?? 0,
    queued: wire.Queued ?? 0
  }))
}

function _toResidents (wire: typeof WireResidents.Type | undefined): readonly ResidentModel[] {
  return (wire ?? []).map((resident) => ({
    model: resident.Name,
    adapters: (resident.Adapters ?? []).map((adapter) => adapter.split('@')[0] ?? adapter)
  }))
}

function _toCopies (wire: typeof WireCopies.Type | undefined): LocalCopies {
  return { inMemory: wire?.InMemory ?? [], onDisk: wire?.OnDisk ?? [] }
}

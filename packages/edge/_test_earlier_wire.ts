import { Schema } from 'effect'

const ReportWire = Schema.Struct({
  instance: Schema.String,
  incarnation: Schema.String,
  relayAddress: Schema.optional(Schema.String),
  isolated: Schema.optional(Schema.Boolean),
  needs: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.String, Schema.Number, Schema.Array(Schema.Number)])),
  uses: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number])),
  loads: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number])),
  adapters: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.String, Schema.Number, Schema.Number]))
})

const EvidenceWire = Schema.Struct({
  origin: Schema.String,
  version: Schema.Number,
  suspicions: Schema.Array(Schema.Tuple([
    Schema.String, Schema.NullOr(Schema.Number), Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number, Schema.Number]))
  ])),
  quarantines: Schema.Array(Schema.Tuple([Schema.String, Schema.Number, Schema.Number]))
})

const OriginsWire = Schema.Struct({
  origin: Schema.String,
  version: Schema.Number,
  records: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number])),
  softwareVersions: Schema.Array(Schema.Tuple([Schema.String, Schema.String, Schema.Number]))
})

/** Wire format of a heartbeat in the build before brittle services were exchanged. */
export const EarlierHeartbeatWire = Schema.Struct({
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
  news: Schema.NullOr(Schema.String)
})

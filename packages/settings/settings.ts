import { Schema } from 'effect'

const Port = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 65_535 }))
const DurationMs = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 86_400_000 }))
const Secret = Schema.String.check(Schema.isMinLength(16))

/** Schema of the settings of one entry instance. */
export const SettingsSchema = Schema.Struct({
  instance: Schema.Struct({
    name: Schema.NonEmptyString,
    address: Schema.NonEmptyString,
    availability_zone: Schema.NonEmptyString,
    http_port: Port,
    peer_port: Port,
    admin_port: Port
  }),
  peers: Schema.Struct({
    shared_secret: Secret,
    timeout_ms: DurationMs
  }),
  store: Schema.Struct({
    address: Schema.NonEmptyString,
    timeout_ms: DurationMs,
    watch_ms: DurationMs
  }),
  admin: Schema.Struct({
    read_keys: Schema.Array(Secret),
    operate_keys: Schema.Array(Secret)
  }),
  lease: Schema.Struct({
    lease_ttl_ms: DurationMs,
    holder_ttl_ms: DurationMs,
    renew_ms: DurationMs
  }),
  requests: Schema.Struct({
    max_body_bytes: Schema.Int.check(Schema.isBetween({ minimum: 1024, maximum: 67_108_864 })),
    max_waiting: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 100_000 })),
    max_attempts: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 10 })),
    max_crashes: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 10 })),
    connect_timeout_ms: DurationMs,
    progress_timeout_ms: DurationMs,
    drain_ms: DurationMs
  }),
  metrics: Schema.Struct({
    statsd_host: Schema.NonEmptyString,
    statsd_port: Port
  }),
  stand_ins: Schema.optionalKey(Schema.Struct({
    deployment: Schema.NonEmptyString,
    store_port: Port
  }))
})

/** Settings of one entry instance. */
export type Settings = typeof SettingsSchema.Type

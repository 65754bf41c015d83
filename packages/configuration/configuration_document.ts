import { Schema } from 'effect'

const Name = Schema.String.check(Schema.isPattern(/^[A-Za-z0-9][A-Za-z0-9._-]*$/))
const NonNegativeInt = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 1_000_000_000 }))
const PositiveInt = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 1_000_000_000 }))
const PositiveNumber = Schema.Number.check(Schema.isBetween({ minimum: 0.001, maximum: 1_000_000 }))

/** Schema of one upstream. */
export const UpstreamSchema = Schema.Struct({
  name: Name,
  kind: Schema.Literals(['engine', 'service']),
  address: Schema.NonEmptyString,
  availability_zone: Name,
  slots: PositiveInt,
  accelerators: Schema.optionalKey(NonNegativeInt),
  memory_mb: Schema.optionalKey(NonNegativeInt),
  kv_floor_mb: Schema.optionalKey(NonNegativeInt),
  checks_fence: Schema.optionalKey(Schema.Boolean),
  logs_orders: Schema.optionalKey(Schema.Boolean)
})

/** Schema of one model, or of an adapter if `base` is set. */
export const ModelSchema = Schema.Struct({
  name: Name,
  base: Schema.optionalKey(Name),
  memory_mb: PositiveInt,
  load_ms: PositiveInt,
  max_replicas: NonNegativeInt
})

/** Schema of one plain service and its routes. */
export const ServiceSchema = Schema.Struct({
  name: Name,
  upstreams: Schema.Array(Name),
  routes: Schema.Array(Schema.Struct({
    path: Schema.NonEmptyString,
    idempotent: Schema.Boolean
  }))
})

/** Schema of a template parameter. */
export const ParameterSchema = Schema.Struct({
  type: Schema.Literals(['number', 'strings']),
  default: Schema.optionalKey(Schema.Union([Schema.Number, Schema.Array(Schema.String)]))
})

const ParameterReference = Schema.String.check(Schema.isPattern(/^\$[a-z_]+$/))
const NumberField = Schema.Union([Schema.Number, ParameterReference])

/** Schema of a template; each field holds a value or a reference to a parameter, such as `$priority`. */
export const TemplateSchema = Schema.Struct({
  name: Name,
  parameters: Schema.Record(Schema.String, ParameterSchema),
  fields: Schema.Struct({
    models: Schema.Union([Schema.Array(Schema.String), ParameterReference]),
    services: Schema.Union([Schema.Array(Schema.String), ParameterReference]),
    priority: NumberField,
    deadline_ms: NumberField,
    requests_per_second: NumberField,
    request_burst: NumberField,
    tokens_per_second: NumberField,
    token_burst: NumberField,
    concurrency: NumberField,
    weight: NumberField,
    cold_start_weight: NumberField
  })
})

/** Schema of a customer: its template, parameter values and SHA-256 digests of its API keys. */
export const CustomerSchema = Schema.Struct({
  name: Name,
  template: Name,
  key_sha256: Schema.Array(Schema.String.check(Schema.isPattern(/^[0-9a-f]{64}$/))),
  parameters: Schema.Record(Schema.String, Schema.Union([Schema.Number, Schema.Array(Schema.String)]))
})

/** Schema of the configuration document. */
export const ConfigurationSchema = Schema.Struct({
  cell: Name,
  weight_store: Schema.Struct({
    starts_per_second: PositiveNumber,
    loads_in_flight: PositiveInt,
    adapter_loads_in_flight: PositiveInt
  }),
  zones: Schema.Struct({ distance_ms: Schema.Number }),
  upstreams: Schema.Array(UpstreamSchema),
  models: Schema.Array(ModelSchema),
  services: Schema.Array(ServiceSchema),
  templates: Schema.Array(TemplateSchema),
  customers: Schema.Array(CustomerSchema)
})

/** Complete configuration as written by operators and kept in the store. */
export type ConfigurationDocument = typeof ConfigurationSchema.Type

/** Template that supplies the settings of customers. */
export type Template = typeof TemplateSchema.Type

/** Customer as configured, before its template is applied. */
export type Customer = typeof CustomerSchema.Type

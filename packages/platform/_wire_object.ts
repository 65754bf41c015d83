import { Schema } from 'effect'

/** An object of the platform's store. */
export const WireObject = Schema.Struct({
  Metadata: Schema.Struct({
    Name: Schema.String,
    // Store revision of the object's last change; the version that conditional updates compare.
    Revision: Schema.Number,
    Deleting: Schema.optionalKey(Schema.Boolean)
  }),
  // What the object's owner wrote; null for objects that only have a status.
  Spec: Schema.optionalKey(Schema.Unknown),
  Status: Schema.optionalKey(Schema.Unknown)
})

/** A page of a listing. */
export const WirePage = Schema.Struct({
  items: Schema.Array(Schema.Unknown),
  More: Schema.optionalKey(Schema.Boolean),
  // Revision of the whole store, from which a watch may go on.
  StoreRevision: Schema.Number
})

/** Changes that a watch brought. */
export const WireEvents = Schema.Struct({
  events: Schema.Array(Schema.Struct({ Object: Schema.Unknown, Deleted: Schema.optionalKey(Schema.Boolean) })),
  StoreRevision: Schema.Number
})

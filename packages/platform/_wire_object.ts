import { Schema } from 'effect'

/** Maximum number of entries in one response: 20 times a page of the store's. */
const MAX_ENTRIES = 10_000

/** An object of the platform's store. */
export const WireObject = Schema.Struct({
  Metadata: Schema.Struct({
    Name: Schema.String,
    // Store revision of the object's last change, which conditional updates compare.
    Revision: Schema.Number,
    Deleting: Schema.optionalKey(Schema.Boolean)
  }),
  // Value written by the object's owner; null for objects that only have a status.
  Spec: Schema.optionalKey(Schema.Unknown),
  Status: Schema.optionalKey(Schema.Unknown)
})

/** A page of a listing. */
export const WirePage = Schema.Struct({
  items: Schema.Array(Schema.Unknown).check(Schema.isMaxLength(MAX_ENTRIES)),
  More: Schema.optionalKey(Schema.Boolean),
  // Revision of the whole store, from which a watch can continue.
  StoreRevision: Schema.Number
})

/** Changes returned by a watch. */
export const WireEvents = Schema.Struct({
  events: Schema.Array(Schema.Struct({ Object: Schema.Unknown, Deleted: Schema.optionalKey(Schema.Boolean) })).check(Schema.isMaxLength(MAX_ENTRIES)),
  StoreRevision: Schema.Number
})

/** Value of a stored object at one version. */
export interface VersionedValue<Value> {
  readonly version: number
  readonly value: Value
}

/** Result of a conditional update of a fake store. */
export type FakeUpdateResult<Value> =
  | { readonly kind: 'done', readonly version: number }
  | { readonly kind: 'conflict', readonly current: VersionedValue<Value> }

/** Fake store of a single object, with all of its versions. */
export interface FakeStore<Value> {
  /** Returns the latest version. */
  current (): VersionedValue<Value>
  /** Returns an earlier version, as a lagging replica of the store would. */
  stale (versionsAgo: number): VersionedValue<Value>
  /** Replaces the value if the latest version is the expected one. */
  update (expectedVersion: number, value: Value): FakeUpdateResult<Value>
}

/**
 * Creates a fake store of a single object.
 *
 * @param initial The value at version 0.
 * @param onChange The callback that is called after each change.
 * @returns The store.
 *
 * @example
 * ```ts
 * const store = createFakeStore(0)
 * console.log(store.update(0, 1).kind) // 'done'
 * ```
 */
export function createFakeStore<Value> (initial: Value, onChange: (now: VersionedValue<Value>) => void = () => {}): FakeStore<Value> {
  const versions: Array<VersionedValue<Value>> = [{ version: 0, value: initial }]
  const current = (): VersionedValue<Value> => versions.at(-1) ?? { version: 0, value: initial }

  function update (expectedVersion: number, value: Value): FakeUpdateResult<Value> {
    const now = current()
    if (now.version !== expectedVersion) return { kind: 'conflict', current: now }
    const next = { version: now.version + 1, value }
    versions.push(next)
    onChange(next)
    return { kind: 'done', version: next.version }
  }

  const stale = (versionsAgo: number): VersionedValue<Value> => versions[Math.max(0, versions.length - 1 - versionsAgo)] ?? current()
  return { current, stale, update }
}

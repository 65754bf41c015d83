/** The value of a fake store's object at one version. */
export interface FakeObject<Value> {
  readonly version: number
  readonly value: Value
}

/** What a conditional update on a fake store came to. */
export type FakeUpdate<Value> =
  | { readonly kind: 'done', readonly version: number }
  | { readonly kind: 'conflict', readonly current: FakeObject<Value> }

/** One object of a fake store with its past. */
export interface FakeStore<Value> {
  current (): FakeObject<Value>
  /** The value some versions ago, as a lagging replica would tell it. */
  stale (versionsAgo: number): FakeObject<Value>
  update (expectedVersion: number, value: Value): FakeUpdate<Value>
}

/**
 * Creates a fake store object.
 *
 * @param initial The value at version 0.
 * @param changed Called after each change.
 * @returns The object.
 *
 * @example
 * ```ts
 * const store = createFakeStore(0)
 * console.log(store.update(0, 1).kind) // 'done'
 * ```
 */
export function createFakeStore<Value> (initial: Value, changed: (now: FakeObject<Value>) => void = () => {}): FakeStore<Value> {
  const past: Array<FakeObject<Value>> = [{ version: 0, value: initial }]
  const current = (): FakeObject<Value> => past.at(-1) ?? { version: 0, value: initial }

  function update (expectedVersion: number, value: Value): FakeUpdate<Value> {
    const now = current()
    if (now.version !== expectedVersion) return { kind: 'conflict', current: now }
    const next = { version: now.version + 1, value }
    past.push(next)
    changed(next)
    return { kind: 'done', version: next.version }
  }

  const stale = (versionsAgo: number): FakeObject<Value> => past[Math.max(0, past.length - 1 - versionsAgo)] ?? current()
  return { current, stale, update }
}

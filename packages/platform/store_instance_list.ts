import { err, ok, type Result } from 'neverthrow'
import { InstanceList, type ListedInstance } from './instance_list.ts'
import type { Store, StoreFailure } from './store.ts'

/** Reads the instance list from an object of the platform's store. */
export class StoreInstanceList extends InstanceList {
  readonly #store: Store
  readonly #key: string

  /**
   * @param store The platform's store.
   * @param key Key of the object that holds the list.
   */
  constructor (store: Store, key = 'instances') {
    super()
    this.#store = store
    this.#key = key
  }

  override async read (): Promise<Result<readonly ListedInstance[], StoreFailure>> {
    const object = await this.#store.read(this.#key)
    if (object.isErr()) return err(object.error)
    if (object.value.version === 0) return err({ kind: 'unavailable', message: `Cannot read instance list: the store has no object ${this.#key}` })
    return ok(JSON.parse(object.value.value) as readonly ListedInstance[])
  }
}

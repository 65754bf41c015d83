import { err, ok, type Result } from 'neverthrow'
import { InstanceList, type ListedInstance } from './instance_list.ts'
import type { Store, StoreFailure } from './store.ts'

/** The platform's list of instances where the platform keeps it as an object of its store. */
export class StoreInstanceList extends InstanceList {
  readonly #store: Store
  readonly #key: string

  /**
   * @param store The platform's store.
   * @param key The list's key.
   */
  constructor (store: Store, key = 'instances') {
    super()
    this.#store = store
    this.#key = key
  }

  override async read (): Promise<Result<readonly ListedInstance[], StoreFailure>> {
    const object = await this.#store.read(this.#key)
    if (object.isErr()) return err(object.error)
    if (object.value.version === 0) return err({ kind: 'unavailable', message: `Cannot read instance list: there is no object ${this.#key}` })
    return ok(JSON.parse(object.value.value) as readonly ListedInstance[])
  }
}

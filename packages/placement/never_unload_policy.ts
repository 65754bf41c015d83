import { Policy } from './policy.ts'

/** Never unloads an idle model, so that a model without enough free memory is not loaded. */
export class NeverUnloadPolicy extends Policy {
  readonly name = 'never-unload'

  override keepAliveMs (): number {
    return Infinity
  }

  override retentionValue (): number {
    return 0
  }

  override mayEvict (): boolean {
    return false
  }
}

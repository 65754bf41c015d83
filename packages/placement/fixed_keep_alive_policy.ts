import { Policy, type PlanningInput } from './policy.ts'

/** Keeps each idle model for a fixed time and evicts the least recently used model first. */
export class FixedKeepAlivePolicy extends Policy {
  readonly name: string
  readonly #keepMs: number

  /**
   * @param keepMs Time for which an idle model is kept, in ms; `Infinity` disables idle unloads.
   * @param name The policy's name.
   */
  constructor (keepMs: number, name = `fixed-${keepMs / 60_000}m`) {
    super()
    this.name = name
    this.#keepMs = keepMs
  }

  override keepAliveMs (): number {
    return this.#keepMs
  }

  override retentionValue (model: string, input: PlanningInput): number {
    return input.usage(model).lastUsedMs
  }
}

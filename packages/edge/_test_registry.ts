import type { Configuration, Upstream } from '@berylshed/fleet'
import { Registry, type RegistryWatch } from '@berylshed/platform'
import { ok } from 'neverthrow'
import { PLAIN_CONFIGURATION } from './_test_fleet.ts'
import { pause } from './_test_system.ts'

const POLL_MS = 20

/** A change of one registration. */
interface _UpstreamChange {
  readonly id: string
  readonly upstream: Upstream | undefined
}

/** A registry that changes while it is watched. */
export class ChangingRegistry extends Registry {
  readonly #upstreams: readonly Upstream[]
  readonly #changes: _UpstreamChange[] = []
  #configuration: Configuration

  constructor (upstreams: readonly Upstream[], configuration = PLAIN_CONFIGURATION) {
    super()
    this.#upstreams = upstreams
    this.#configuration = configuration
  }

  change (change: _UpstreamChange): void {
    this.#changes.push(change)
  }

  configure (configuration: Configuration): void {
    this.#configuration = configuration
  }

  override async readConfiguration () {
    return ok({ revision: this.#configuration.version, configuration: this.#configuration })
  }

  override async watchConfiguration ({ afterRevision, waitMs }: RegistryWatch) {
    const untilMs = performance.now() + waitMs
    while (this.#configuration.version <= afterRevision && performance.now() < untilMs) await pause(POLL_MS)
    return ok({ revision: this.#configuration.version, configuration: this.#configuration })
  }

  override async listUpstreams () {
    return ok({ revision: 1, upstreams: new Map(this.#upstreams.map((upstream) => [upstream.id, upstream])) })
  }

  override async watchUpstreams ({ afterRevision, waitMs }: RegistryWatch) {
    const untilMs = performance.now() + waitMs
    while (this.#changes.length < afterRevision && performance.now() < untilMs) await pause(POLL_MS)
    return ok({ revision: this.#changes.length + 1, changes: this.#changes.slice(afterRevision - 1) })
  }
}

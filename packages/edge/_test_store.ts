import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Interval at which a waiting watch looks for changes, in ms. */
const WATCH_POLL_MS = 10

interface StoredObject {
  readonly Metadata: { readonly Name: string, readonly Revision: number }
  readonly Spec: unknown
}

interface Change {
  readonly kind: string
  readonly event: { readonly Object: StoredObject, readonly Deleted?: true }
}

/** State of a store at one moment. */
export interface StoreCopy {
  readonly revision: number
  readonly objects: ReadonlyMap<string, StoredObject>
  readonly changes: readonly Change[]
}

/** A store that speaks the platform's protocol and can be restored from a copy of itself. */
export interface TestStore {
  readonly address: string
  put (kind: string, name: string, spec: unknown): void
  remove (kind: string, name: string): void
  get (kind: string, name: string): unknown
  names (kind: string): readonly string[]
  copy (): StoreCopy
  restore (copy: StoreCopy): void
  /** Adds a number to the revision of the store in each answer. */
  shift (revisions: number): void
  /** Delays each call, or resets all of them. */
  disturb (how: { readonly delayMs: number, readonly isAway: boolean }): void
  close (): void
}

/** Starts a store on a free port. */
export async function startTestStore (): Promise<TestStore> {
  let era = 1
  let disturbed = { delayMs: 0, isAway: false }
  let shift = 0
  let state: StoreCopy = { revision: 0, objects: new Map(), changes: [] }

  function write (kind: string, name: string, spec: unknown): StoredObject {
    const revision = state.revision + 1
    const object = { Metadata: { Name: name, Revision: revision }, Spec: spec }
    state = { revision, objects: new Map(state.objects).set(`${kind}/${name}`, object), changes: [...state.changes, { kind, event: { Object: object } }] }
    return object
  }

  function remove (kind: string, name: string): void {
    const objects = new Map(state.objects)
    const known = objects.get(`${kind}/${name}`)
    if (known === undefined) return
    objects.delete(`${kind}/${name}`)
    const revision = state.revision + 1
    const removed = { ...known, Metadata: { Name: name, Revision: revision } }
    state = { revision, objects, changes: [...state.changes, { kind, event: { Object: removed, Deleted: true } }] }
  }

  function answer (response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': era }).end(JSON.stringify(body))
  }

  function list (response: ServerResponse, kind: string): void {
    const items = [...state.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
    answer(response, 200, { items, More: false, StoreRevision: state.revision + shift })
  }

  function watch (response: ServerResponse, watched: { readonly kind: string, readonly revision: number, readonly untilMs: number }): void {
    if (watched.revision > state.revision) return answer(response, 410, {})
    const events = state.changes.filter(({ kind, event }) => kind === watched.kind && event.Object.Metadata.Revision > watched.revision).map(({ event }) => event)
    if (events.length > 0 || Date.now() >= watched.untilMs) return answer(response, 200, { events, StoreRevision: state.revision + shift })
    setTimeout(() => watch(response, watched), WATCH_POLL_MS)
  }

  async function update (request: IncomingMessage, response: ServerResponse, target: { readonly kind: string, readonly name: string | undefined }): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const { Metadata, Spec } = JSON.parse(Buffer.concat(chunks).toString()) as { readonly Metadata: { readonly Name: string, readonly Revision?: number }, readonly Spec: unknown }
    const known = state.objects.get(`${target.kind}/${Metadata.Name}`)
    if (target.name !== undefined && known === undefined) return answer(response, 404, {})
    if (known?.Metadata.Revision !== Metadata.Revision) return answer(response, 409, known)
    answer(response, 200, write(target.kind, Metadata.Name, Spec))
  }

  function handle (request: IncomingMessage, response: ServerResponse): void {
    const { pathname, searchParams } = new URL(request.url ?? '', 'http://store')
    const [, , kind = '', name] = pathname.split('/')
    if (request.method !== 'GET') {
      update(request, response, { kind, name }).catch((error: unknown) => { response.destroy(error as Error) })
      return
    }
    const watched = searchParams.get('Watch')
    if (watched !== null) return watch(response, { kind, revision: Number(watched), untilMs: Date.now() + Number(searchParams.get('WaitMs')) })
    if (name === undefined) return list(response, kind)
    const object = state.objects.get(`${kind}/${name}`)
    return object === undefined ? answer(response, 404, {}) : answer(response, 200, object)
  }

  const server = createServer((request, response) => {
    if (disturbed.isAway) request.socket.resetAndDestroy()
    else if (disturbed.delayMs === 0) handle(request, response)
    else setTimeout(handle, disturbed.delayMs, request, response)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    put: write,
    remove,
    get: (kind, name) => state.objects.get(`${kind}/${name}`)?.Spec,
    names: (kind) => [...state.objects.keys()].flatMap((key) => key.startsWith(`${kind}/`) ? [key.slice(kind.length + 1)] : []),
    copy: () => state,
    restore: (copy) => {
      era += 1
      state = copy
    },
    shift: (revisions) => { shift = revisions },
    disturb: (how) => {
      disturbed = how
      if (how.isAway) server.closeAllConnections()
    },
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}

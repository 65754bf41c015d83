import { createServer } from 'node:http'

const WATCH_POLL_MS = 5
const PAGE = 500

/** Starts a stand-in for the platform's store: objects by kind and name, one revision counter, conditional updates and watches. */
export async function startStore () {
  let revision = 1
  const objects = new Map()
  const changes = []

  function change (kind, object, deleted) {
    revision += 1
    object.Metadata = { ...object.Metadata, Revision: revision }
    changes.push({ kind, revision, event: { Deleted: deleted, Object: structuredClone(object) } })
    return object
  }

  function put (kind, name, { Spec, Status }) {
    const key = `${kind}/${name}`
    const known = objects.get(key) ?? { Metadata: { Name: name, Revision: 0, Created: revision + 1, Finalizers: [], Deleting: false }, Spec: null, Status: null }
    const next = { ...known, ...Spec === undefined ? {} : { Spec }, ...Status === undefined ? {} : { Status } }
    if (objects.has(key) && JSON.stringify([known.Spec, known.Status]) === JSON.stringify([next.Spec, next.Status])) return known
    objects.set(key, change(kind, next, false))
    return next
  }

  function remove (kind, name) {
    const known = objects.get(`${kind}/${name}`)
    if (known === undefined) return
    objects.delete(`${kind}/${name}`)
    change(kind, { ...known }, true)
  }

  function answer (response, status, body) {
    const text = JSON.stringify(body)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), 'Store-Era': '0' }).end(text)
  }

  function list (response, kind, after) {
    const names = [...objects.keys()].filter((key) => key.startsWith(`${kind}/`)).map((key) => key.slice(kind.length + 1)).filter((name) => name > after).sort()
    answer(response, 200, { items: names.slice(0, PAGE).map((name) => objects.get(`${kind}/${name}`)), More: names.length > PAGE, StoreRevision: revision })
  }

  function watch (response, kind, since, untilMs) {
    if (response.destroyed) return
    const events = changes.filter((entry) => entry.kind === kind && entry.revision > since).map(({ event }) => event)
    if (events.length > 0 || performance.now() >= untilMs) return answer(response, 200, { events, StoreRevision: revision })
    setTimeout(() => watch(response, kind, since, untilMs), WATCH_POLL_MS)
  }

  function write (request, response, target, text) {
    const { kind, name, isStatus } = target
    const body = text === '' ? {} : JSON.parse(text)
    const objectName = name ?? body.Metadata?.Name
    const known = objects.get(`${kind}/${objectName}`)
    if (request.method === 'POST') return known === undefined ? answer(response, 201, put(kind, objectName, body)) : answer(response, 409, known)
    if (known === undefined) return answer(response, 404, {})
    const expected = target.revision ?? body.Metadata?.Revision
    if (expected !== undefined && expected !== known.Metadata.Revision) return answer(response, 409, known)
    if (request.method === 'DELETE') {
      remove(kind, objectName)
      return answer(response, 200, known)
    }
    answer(response, 200, put(kind, objectName, isStatus ? { Status: body.Status } : { Spec: body.Spec }))
  }

  const server = createServer((request, response) => {
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const [, , kind, name, tail] = pathname.split('/')
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', () => {
      if (request.method !== 'GET') {
        const expected = searchParams.get('Revision')
        return write(request, response, { kind, name, isStatus: tail === 'status', revision: expected === null ? undefined : Number(expected) }, Buffer.concat(chunks).toString())
      }
      if (searchParams.has('Watch')) return watch(response, kind, Number(searchParams.get('Watch')), performance.now() + Number(searchParams.get('WaitMs') ?? 0))
      if (name === undefined) return list(response, kind, searchParams.get('after') ?? '')
      const object = objects.get(`${kind}/${name}`)
      return object === undefined ? answer(response, 404, {}) : answer(response, 200, object)
    })
  })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    put,
    remove,
    get: (kind, name) => objects.get(`${kind}/${name}`)
  }
}

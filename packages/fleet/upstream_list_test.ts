import test from 'ava'
import type { Upstream } from './upstream.ts'
import { applyUpstreamNews, changeUpstreams, NO_UPSTREAMS, upstreamNews } from './upstream_list.ts'

const upstream: Upstream = {
  id: 'u', service: 's', address: '10.0.0.1:80', availabilityZone: 'a', incarnation: 2, slots: 1, leaving: false, residents: [], copies: { inMemory: [], onDisk: [] }
}

test('an entry of an earlier incarnation never replaces a later one', (t) => {
  const known = changeUpstreams(NO_UPSTREAMS, [{ id: 'u', upstream }], { revision: 5 })
  const late = changeUpstreams(known, [{ id: 'u', upstream: { ...upstream, incarnation: 1 } }], { revision: 6 })
  t.is(late.upstreams.get('u')?.incarnation, 2)
  t.is(changeUpstreams(late, [{ id: 'u', upstream: undefined }], { revision: 7 }).upstreams.size, 0)
})

test('news are what has changed for routing since the known revision, removals included', (t) => {
  const first = changeUpstreams(NO_UPSTREAMS, [{ id: 'u', upstream }, { id: 'v', upstream: { ...upstream, id: 'v' } }], { revision: 5 })
  const resident = { ...upstream, residents: [{ model: 'm', adapters: [] }] }
  const second = changeUpstreams(first, [{ id: 'u', upstream: resident }], { revision: 6 })
  const third = changeUpstreams(second, [{ id: 'v', upstream: undefined }], { revision: 7 })
  t.deepEqual(upstreamNews(second, 5).changes, [])
  t.deepEqual(upstreamNews(third, 5), { revision: 7, complete: false, changes: [{ id: 'v', upstream: undefined }] })
  t.deepEqual([...applyUpstreamNews(first, upstreamNews(third, 5)).upstreams.keys()], ['u'])
})

test('an instance that knows nothing, or something older than all known changes, gets the whole list', (t) => {
  const list = changeUpstreams(NO_UPSTREAMS, [{ id: 'u', upstream }], { revision: 5 })
  const stale = changeUpstreams(NO_UPSTREAMS, [{ id: 'old', upstream: { ...upstream, id: 'old' } }], { revision: 3 })
  t.true(upstreamNews(list, 3).complete)
  t.deepEqual([...applyUpstreamNews(stale, upstreamNews(list, 3)).upstreams.keys()], ['u'])
  t.is(applyUpstreamNews(list, upstreamNews(stale, 0)), list)
})

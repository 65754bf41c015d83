import test from 'ava'
import type { Upstream } from './upstream.ts'
import { applyUpstreamUpdate, applyRegistrationChanges, NO_UPSTREAMS, upstreamUpdateSince } from './upstream_list.ts'

const upstream: Upstream = {
  id: 'u', service: 's', address: '10.0.0.1:80', availabilityZone: 'a', incarnation: 2, softwareVersion: 'v1', slots: 1, leaving: false, residents: [], copies: { inMemory: [], onDisk: [] }
}

test('a registration of an earlier incarnation never replaces a later one', (t) => {
  const known = applyRegistrationChanges(NO_UPSTREAMS, [{ id: 'u', upstream }], { revision: 5 })
  const late = applyRegistrationChanges(known, [{ id: 'u', upstream: { ...upstream, incarnation: 1 } }], { revision: 6 })
  t.is(late.upstreams.get('u')?.incarnation, 2)
  t.is(applyRegistrationChanges(late, [{ id: 'u', upstream: undefined }], { revision: 7 }).upstreams.size, 0)
})

test('an update contains the changes that affect routing since the known revision, including removals', (t) => {
  const first = applyRegistrationChanges(NO_UPSTREAMS, [{ id: 'u', upstream }, { id: 'v', upstream: { ...upstream, id: 'v' } }], { revision: 5 })
  const resident = { ...upstream, residents: [{ model: 'm', adapters: [] }] }
  const second = applyRegistrationChanges(first, [{ id: 'u', upstream: resident }], { revision: 6 })
  const third = applyRegistrationChanges(second, [{ id: 'v', upstream: undefined }], { revision: 7 })
  t.deepEqual(upstreamUpdateSince(second, 5).changes, [])
  t.deepEqual(upstreamUpdateSince(third, 5), { revision: 7, complete: false, changes: [{ id: 'v', upstream: undefined }] })
  t.deepEqual([...applyUpstreamUpdate(first, upstreamUpdateSince(third, 5)).upstreams.keys()], ['u'])
})

test('an instance without a list, or with one older than all recorded changes, receives the whole list', (t) => {
  const list = applyRegistrationChanges(NO_UPSTREAMS, [{ id: 'u', upstream }], { revision: 5 })
  const stale = applyRegistrationChanges(NO_UPSTREAMS, [{ id: 'old', upstream: { ...upstream, id: 'old' } }], { revision: 3 })
  t.true(upstreamUpdateSince(list, 3).complete)
  t.deepEqual([...applyUpstreamUpdate(stale, upstreamUpdateSince(list, 3)).upstreams.keys()], ['u'])
  t.is(applyUpstreamUpdate(list, upstreamUpdateSince(stale, 0)), list)
})

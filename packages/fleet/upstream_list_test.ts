import test from 'ava'
import type { Upstream } from './upstream.ts'
import { changeUpstreams, NO_UPSTREAMS } from './upstream_list.ts'

const upstream: Upstream = {
  id: 'u', service: 's', address: '10.0.0.1:80', availabilityZone: 'a', incarnation: 2, slots: 1, leaving: false, residents: [], copies: { inMemory: [], onDisk: [] }
}

test('an entry of an earlier incarnation never replaces a later one', (t) => {
  const known = changeUpstreams(NO_UPSTREAMS, [{ id: 'u', upstream }], { revision: 5 })
  const late = changeUpstreams(known, [{ id: 'u', upstream: { ...upstream, incarnation: 1 } }], { revision: 6 })
  t.is(late.upstreams.get('u')?.incarnation, 2)
  t.is(changeUpstreams(late, [{ id: 'u', upstream: undefined }], { revision: 7 }).upstreams.size, 0)
})

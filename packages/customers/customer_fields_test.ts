import type { Customer, Quota } from '@berylshed/fleet'
import test from 'ava'
import { customerFields } from './customer_fields.ts'

const QUOTA: Quota = { unit: 'tokens', perS: 1000, burst: 1000, plainTokens: 200 }
const CUSTOMER: Customer = { name: 'one', keyDigests: [], rank: 1 }

test('the rank of the customer goes before that of the route', (t) => {
  t.deepEqual(customerFields(CUSTOMER, { rank: 2 }, undefined), { customer: 'one', rank: 1, routeRank: 2 })
  t.deepEqual(customerFields({ name: 'one', keyDigests: [] }, { rank: 2 }, undefined), { customer: 'one', rank: 0, routeRank: 2 })
  t.deepEqual(customerFields(undefined, { rank: 2 }, { prompt: 1, output: 1 }), { rank: 2, routeRank: 2 })
})

test('a request counts in the unit of the quota, and nothing without one', (t) => {
  const units = (quota: Quota | undefined, tokens?: { readonly prompt: number, readonly output: number }) => customerFields({ ...CUSTOMER, ...quota === undefined ? {} : { quota } }, { rank: 0 }, tokens).quotaUnits
  t.deepEqual([units(QUOTA, { prompt: 543, output: 80 }), units(QUOTA), units({ ...QUOTA, unit: 'requests' }, { prompt: 543, output: 80 }), units(undefined, { prompt: 543, output: 80 })], [623, 200, 1, undefined])
})

import type { Customer } from '@berylshed/fleet'
import test from 'ava'
import { authenticate } from './authenticate.ts'
import { buildCustomerTable } from './customer_table.ts'
import { keyDigest } from './key_digest.ts'

const CUSTOMERS: readonly Customer[] = [
  { name: 'one', keyDigests: ['k1', 'twice', 'twice', 'shared', 'clé'].map(keyDigest) },
  { name: 'two', keyDigests: ['k2', 'shared'].map(keyDigest) }
]
const TABLE = buildCustomerTable(new Map(CUSTOMERS.map((customer) => [customer.name, customer])))

function outcome (...values: readonly string[]): string {
  const found = authenticate(TABLE, values)
  return found.kind === 'known' ? found.customer.name : `${found.reason} ${found.digestPrefix}`.trim()
}

// A key that is read otherwise here than at the upstream, or that a lenient parser finds, would let a caller pass as another customer.
test('only one header with the scheme and exactly one key identifies a customer', (t) => {
  const unknown = keyDigest('k3').slice(0, 8)
  t.deepEqual([['Token k1'], ['token  k1'], ['TOKEN\tk2 '], ['Token twice']].map((values) => outcome(...values)), ['one', 'one', 'two', 'one'])
  t.deepEqual([[], [''], ['Token'], ['Token '], ['k1'], ['Token k1 k2'], ['Bearer k1'], ['Tokenk1'], ['Token k1', 'Token k1'], ['Token k1', 'Token k2'], ['Token k3']].map((values) => outcome(...values)), [
    'key_missing', 'key_malformed', 'key_malformed', 'key_malformed', 'key_malformed', 'key_malformed', 'key_scheme', 'key_malformed', 'key_duplicate', 'key_duplicate', `key_unknown ${unknown}`
  ])
})

test('a key that two customers hold identifies neither', (t) => {
  t.is(outcome('Token shared'), `key_shared ${keyDigest('shared').slice(0, 8)}`)
})

test('a key outside of ASCII is compared by its bytes', (t) => {
  t.is(outcome(`Token ${Buffer.from('clé').toString('latin1')}`), 'one')
})

test('no rejection contains more than eight characters of a digest', (t) => {
  for (const key of ['shared', 'k3']) {
    const found = authenticate(TABLE, [`Token ${key}`])
    t.is(found.kind === 'rejected' && found.digestPrefix.length, 8)
  }
})

import test from 'ava'
import { findCustomerProblems } from './find_customer_problems.ts'

test('all problems are reported together, and none contains a digest', (t) => {
  const problems = findCustomerProblems([
    { name: 'one', keyDigests: ['aaaa', 'bbbb', 'bbbb'], unit: 'token_based', perS: 100, burst: 100, requestUnits: 50 },
    { name: 'two', keyDigests: ['aaaa'], unit: 'bytes', perS: -1, burst: 0 },
    { name: 'one', keyDigests: [], perS: 100, burst: 40, requestUnits: 50 },
    { name: 'three', keyDigests: [], perS: 0, burst: 0 }
  ], { units: ['token_based', 'request_based'] })
  t.snapshot(problems.map(({ index, field, message }) => `${index}.${field}: ${message}`))
  t.false(problems.some(({ message }) => /aaaa|bbbb/.test(message)))
})

import test from 'ava'
import { expectedKeptTokens, homeOf, nameSeed, partKeys, recordPrompt, type KeptParts, type Prompt } from './mod.ts'

const prompt = (...parts: readonly string[]): Prompt => ({ model: 'm', adapter: undefined, parts, tokens: parts.map(() => 100) })
const expected = (kept: KeptParts | undefined, of: Prompt, options = {}) => expectedKeptTokens(kept, { keys: partKeys(of), tokens: of.tokens }, { incarnation: 1, readTokens: 0, othersShare: 0, ...options })

// A later part was counted as kept although the engine has to read it again after a part that is missing.
test('only parts from the first one on without a gap count as kept', (t) => {
  const kept = recordPrompt(undefined, prompt('a', 'b', 'c'), { incarnation: 1, readTokens: 0 })
  t.is(expected(kept, prompt('a', 'b', 'd')), 200)
  t.is(expected(kept, prompt('a', 'x', 'c')), 100)
  t.is(expected(kept, prompt('x', 'b', 'c')), 0)
  t.is(expected(kept, { ...prompt('a'), adapter: 'other' }), 0)
})

// Memory of hints grew with the sessions of callers.
test('the least recently used parts beyond the capacity are evicted, the last of a prompt first', (t) => {
  let kept: KeptParts | undefined
  for (const parts of [['a', 'b'], ['a', 'c'], ['a', 'd']]) kept = recordPrompt(kept, prompt(...parts), { incarnation: 1, readTokens: 0, capacityTokens: 400 })
  t.deepEqual([...kept?.parts.keys() ?? []], ['m  c', 'm  d', 'm  a'])
  t.is(kept?.totalTokens, 300)
})

test('nothing of another incarnation counts, and less the more others have sent since', (t) => {
  const kept = recordPrompt(undefined, prompt('a'), { incarnation: 1, readTokens: 0, capacityTokens: 1000 })
  t.is(expected(kept, prompt('a'), { incarnation: 2 }), 0)
  const shares = [0, 400, 4000].map((readTokens) => expected(kept, prompt('a'), { readTokens, othersShare: 0.8 }))
  t.true(shares[0] === 100 && (shares[1] ?? 0) < 100 && (shares[2] ?? 1) < (shares[1] ?? 0))
  t.is(recordPrompt(kept, prompt('b'), { incarnation: 2, readTokens: 0 }).totalTokens, 100)
})

// A modulo of the number of upstreams moved nearly all parts when one came or went.
test('an upstream that comes or goes moves only its own parts, and homes are spread evenly', (t) => {
  const upstreams = Array.from({ length: 50 }, (_, i) => nameSeed(`engine-${i}`))
  const parts = Array.from({ length: 5000 }, (_, i) => nameSeed(`part-${i}`))
  const homes = parts.map((part) => homeOf(part, upstreams))
  const rest = upstreams.slice(0, -1)
  t.true(parts.every((part, i) => homes[i] === 49 || homeOf(part, rest) === homes[i]))
  const counts = upstreams.map((_, i) => homes.filter((home) => home === i).length)
  t.true(Math.max(...counts) < 150 && Math.min(...counts) > 60)
  t.is(homeOf(1, []), -1)
})

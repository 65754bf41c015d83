import test from 'ava'
import { compareLists } from './compare_lists.ts'
import type { ListedInstance } from './instance_list.ts'

const upstream = (name: string, state: ListedInstance['state'] = 'live'): ListedInstance => ({ name, role: 'upstream', address: name, state })

test('an upstream is gone only once it was listed and is no longer', (t) => {
  t.deepEqual(compareLists([], [upstream('a')]).gone, [])
  t.deepEqual(compareLists([upstream('a'), upstream('b')], [upstream('b')]).gone, ['a'])
})

test('leaving and returning are told', (t) => {
  const leaving = [upstream('a', 'leaving'), upstream('b')]
  t.deepEqual(compareLists([upstream('a')], leaving).leaving, ['a'])
  t.deepEqual(compareLists(leaving, [upstream('a'), upstream('b')]).returned, ['a'])
})

test('entry instances are not upstreams', (t) => {
  const entry: ListedInstance = { name: 'e', role: 'entry', address: 'e', state: 'leaving' }
  t.deepEqual(compareLists([entry], []), { gone: [], leaving: [], returned: [] })
})

import test from 'ava'
import { formatFailure } from './format_failure.ts'
import { formatTable } from './format_table.ts'

test('a failure shows its message and findings, and not the whole answer', (t) => {
  const findings = [{ source: 'configuration', line: undefined, path: 'models.3.base', message: 'There is no model x; add it first' }]
  t.snapshot([
    formatFailure({ exitCode: 4, detail: 'Cannot reach a' }, false),
    formatFailure({ exitCode: 3, detail: { error: 'Cannot apply configuration', current: { value: 'long' } } }, false),
    formatFailure({ exitCode: 2, detail: { error: 'It has findings', findings } }, false),
    formatFailure({ exitCode: 2, detail: { error: 'It has findings' } }, true)
  ])
})

test('a table lines its columns up', (t) => {
  t.snapshot(formatTable([{ name: 'a', replicas: [{ upstream: 'u', phase: 'loaded' }] }, { name: 'longer', replicas: [] }]))
  t.is(formatTable([]), '(none)\n')
})

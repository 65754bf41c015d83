import test from 'ava'
import { decodeConfiguration } from './_decode_configuration.ts'
import { decodeReport, decodeUpstream } from './_decode_upstream.ts'
import { authorizationValues, handoverHeaders, readHandoverHeaders, readResponseHeaders, readRequestHeaders, attemptHeaders } from './http_headers.ts'
import { readHostSettings } from './host_settings.ts'

const ENTRY = {
  Service: 'drafts', Address: '10.0.0.1:80', Zone: 'a', Version: 'v1', Slots: 16, State: 'ready', Sequence: 77, born: 5, Models: [{ Name: 'm', Version: 1, Adapters: ['a1@1'] }], unknown: true
}

test('readHostSettings() reports every finding with its path', (t) => {
  const findings = readHostSettings('{"NodeName": "", "Ip": 4, "Listen": {"Front": "a:1"}}', 'settings.json').match(() => [], (found) => found.map(({ path, message }) => `${path}: ${message}`))
  t.snapshot(findings)
  t.is(readHostSettings('not JSON', 'settings.json').isErr(), true)
})

test('decodeUpstream() rejects malformed entries', (t) => {
  const readable = [ENTRY, { ...ENTRY, State: 'paused' }, { ...ENTRY, Slots: 'many' }, { ...ENTRY, born: 1.5 }, {}, 'text', null].map((value) => decodeUpstream('u', value).isOk())
  t.deepEqual(readable, [true, false, false, false, false, false, false])
  t.snapshot(decodeUpstream('u', ENTRY)._unsafeUnwrap())
})

test('decodeReport() reads the sequence as the number of accepted orders', (t) => {
  t.snapshot(decodeReport('u', { Models: [], Busy: true, Sequence: 3, Pending: ['m/a1@1'], Available: { OnDisk: ['m'] } })._unsafeUnwrap())
})

test('decodeConfiguration() decodes split routes and engines', (t) => {
  const decoded = decodeConfiguration({
    Version: 7,
    Routes: [{ Name: 'r', Hostname: 'h', PathPrefix: '/p/', RouteKind: 'streaming', Split: [{ Service: 'a', Weight: 90 }, { Service: 'b', Weight: 10 }], Attempts: 2, Resumable: true }],
    Services: [{ Name: 'a', Engine: { Slots: 2, WeightsMb: 80, AdapterSlots: 8, LoadsPerS: 2.7, Models: [{ Name: 'm', WeightsMb: 16, LoadTimeS: 6, DiskS: 0.5 }] } }, { Name: 'b' }]
  }, 'test')
  t.snapshot(decoded._unsafeUnwrap())
})

test('decodeConfiguration() decodes sticky routes and the prompt cache of engines, which are optional', (t) => {
  const decoded = decodeConfiguration({
    Version: 1,
    Routes: [{ Name: 'r', Hostname: 'h', PathPrefix: '/p/', RouteKind: 'streaming', Service: 'a', Sticky: true }, { Name: 's', Hostname: 'h', PathPrefix: '/s/', RouteKind: 'streaming', Service: 'a', Sticky: false }],
    Services: [{ Name: 'a', Engine: { Slots: 2, WeightsMb: 80, KvCapacity: 45_209, Models: [] } }, { Name: 'b', Engine: { Slots: 2, WeightsMb: 80, Models: [] } }]
  }, 'test')._unsafeUnwrap()
  t.deepEqual(decoded.routes.map(({ sticky }) => sticky), [true, undefined])
  t.deepEqual(['a', 'b'].map((service) => decoded.services.get(service)?.engine?.kvCapacity), [45_209, undefined])
})

test('attemptHeaders() replaces upstream control headers and keeps the other headers of the caller', (t) => {
  const callerHeaders = ['Host', 'h', 'Attempt-Id', 'a1', 'Model', 'm/a1', 'Hold', 'x', 'Pin-Ms', '9', 'Kv-From', 'y', 'Deadline-Ms', '9000', 'Connection', 'keep-alive', 'Last-Event-Id', '3']
  const attempt = { callerHeaders, upstream: 'i-1', remainingMs: 812.7, rank: 1, bodyBytes: 4, keepAlive: false }
  t.snapshot({ first: attemptHeaders({ ...attempt, lastEventId: undefined }).join(' '), resumed: attemptHeaders({ ...attempt, lastEventId: '12' }).join(' ') })
  t.deepEqual(readRequestHeaders({ 'attempt-id': 'a1', model: 'm/a1', 'deadline-ms': '250' }), { id: 'a1', model: 'm', adapter: 'a1', callerTimeoutMs: 250, lastEventId: undefined, resumedAttempt: undefined, promptParts: [], promptPartTokens: [], tokens: undefined })
  t.is(readRequestHeaders({ resumes: 'a0' }).resumedAttempt, 'a0')
  t.deepEqual(readRequestHeaders({ 'prompt-prefix': '5c1e07a2:800, 91bd3f06:410,e4402b7d:250' }).promptParts, ['5c1e07a2', '91bd3f06', 'e4402b7d'])
  t.deepEqual(readRequestHeaders({ 'prompt-prefix': '5c1e07a2:800,91bd3f06,e4402b7d:x' }).promptPartTokens, [800, 0, 0])
  t.deepEqual(['1460,80', '1460, 80', '1460', '1,2,3', ',5', '-1,5', 'x,y'].map((count) => readRequestHeaders({ 'token-count': count }).tokens), [{ prompt: 1460, output: 80 }, { prompt: 1460, output: 80 }, undefined, undefined, undefined, undefined, undefined])
  t.deepEqual(readResponseHeaders(421, {}), { id: undefined, notRun: true, misdirected: true, signed: false, unencoded: true, requestLimitPerS: undefined, leaving: false, retryAfterMs: undefined, maxRejectionsPerS: undefined })
  t.like(readResponseHeaders(503, { 'retry-after': '0.5', 'server-leaving': '1', 'server-brittle': '4' }), { retryAfterMs: 500, leaving: true, maxRejectionsPerS: 4 })
  t.is(readResponseHeaders(429, { 'retry-after': '0.5' }).retryAfterMs, undefined)
  t.is(readResponseHeaders(200, { 'server-limit': '7.25' }).requestLimitPerS, 7.25)
  t.is(readResponseHeaders(200, { 'server-limit': 'many' }).requestLimitPerS, undefined)
})

// A limit without a value kept processes from starting.
test('readHostSettings() takes optional values that are null, absent or no limit for their defaults', (t) => {
  const settings = { NodeName: 'edge-1', Ip: '127.0.0.1', Zone: 'a', Listen: { Front: 'a:1', Ready: 'a:2', Control: 'a:3' }, InternalPorts: [4, 5], Bounds: { DrainMs: 1, ConfigMs: 1, GraceS: 1, RetryBudgetRatio: 1, RetrySlack: 1, BudgetWindowS: 1, FencingEnforced: true, LeaseMs: 1 } }
  const optional = [{}, { HeartbeatMs: null, Limits: null }, { Limits: { MemoryMb: null, MaxFds: 0 } }, { Limits: { MemoryMb: 160.5, MaxFds: 2100 } }]
  t.snapshot(optional.map((fields) => readHostSettings(JSON.stringify({ ...settings, ...fields, Platform: { Address: 'a:6', WritesPerS: null } }), 'settings.json').match(
    ({ memoryBytes, maxDescriptors, storeWritesPerS, bounds }) => ({ memoryMb: memoryBytes / 1024 / 1024, maxDescriptors, storeWritesPerS, registrationTtlMs: bounds.registrationTtlMs }),
    (findings) => findings.map(({ path, message }) => `${path}: ${message}`))))
})

const ROUTE = { Name: 'r', Hostname: 'h', PathPrefix: '/p/', RouteKind: 'idempotent' }

// Decodes customers and returns them with the findings on them.
function decodeTenants (tenants: unknown) {
  const findings: string[] = []
  const decoded = decodeConfiguration({ Version: 7, Routes: [ROUTE, { ...ROUTE, Name: 'open', Anonymous: true }], Services: [], ...tenants === undefined ? {} : { Tenants: tenants } }, 'config/main', (found) => findings.push(...found.map(({ path, message }) => `${path}: ${message}`)))
  return { configuration: decoded._unsafeUnwrap(), findings }
}

test('decodeConfiguration() keeps digests of keys, and the fields of customers', (t) => {
  const { configuration, findings } = decodeTenants([
    { Name: 'hule930', ApiKeys: ['asnmgkcuyj8pjbvk9m68', 'k7b2ex5wa5xwyhks8nbk'], Priority: 1, Unit: 'token_based', PlainTokens: 200, RatePerS: 225540, Burst: 225540 },
    { Name: 'counted', ApiKeys: ['k3'], RatePerS: 4 },
    { Name: 'bare' },
    { Name: 'nulls', ApiKeys: null, Priority: null, Unit: null, PlainTokens: null, RatePerS: null, Burst: null }
  ])
  t.snapshot({ customers: [...configuration.customers?.values() ?? []], findings, anonymous: configuration.routes.map(({ anonymous }) => anonymous) })
  t.false(/asnmgkcuyj8pjbvk9m68|k7b2ex5wa5xwyhks8nbk/.test(JSON.stringify([...configuration.customers?.values() ?? []])))
})

// Without customers, callers need no key: a list that cannot be read must not open a deployment, and an empty one must not close it.
test('decodeConfiguration() tells a deployment without customers from one whose customers it cannot read', (t) => {
  t.deepEqual([undefined, null, []].map((tenants) => decodeTenants(tenants).configuration.customers), [undefined, undefined, undefined])
  t.deepEqual(['none', {}, 3].map((tenants) => decodeTenants(tenants).configuration.customers?.size), [0, 0, 0])
  t.is(decodeTenants('none').findings.length, 1)
})

test('a malformed customer leaves the rest of the configuration usable, and its findings name no key', (t) => {
  const { configuration, findings } = decodeTenants([
    'secretkey0', { ApiKeys: ['secretkey1'] }, { Name: 'a\r\nb', ApiKeys: ['secretkey2'] }, { Name: 'odd keys', ApiKeys: [81726354, '', { secretkey3: 1 }, 'secretkey4'] }, { Name: 'one key', ApiKeys: 'secretkey5' },
    { Name: 'odd fields', ApiKeys: ['secretkey6'], Priority: -1, Unit: 'bytes', PlainTokens: 'x', RatePerS: -5, Burst: 9 },
    { Name: 'small burst', ApiKeys: ['secretkey7', 'secretkey6'], Unit: 'token_based', PlainTokens: 200, RatePerS: 500, Burst: 100 },
    { Name: 'odd keys', ApiKeys: ['secretkey8'] }, null
  ])
  t.snapshot({ findings, customers: [...configuration.customers?.values() ?? []].map(({ keyDigests, ...fields }) => ({ ...fields, keys: keyDigests.length })) })
  t.false(/secretkey|81726354/.test(JSON.stringify(findings)))
})

const CALLER_HEADERS = ['Host', 'h', 'AUTHORIZATION', 'Token k1', 'tenant', 'forged', 'Berylshed-Customer', 'forged', 'X-Other', 'kept']
const PASSED = { callerHeaders: CALLER_HEADERS, remainingMs: 812, bodyBytes: undefined, keepAlive: false, lastEventId: undefined }

// An upstream that sees the key of a customer can call as that customer, and one that trusts the caller's own name serves anybody as anybody.
test('attemptHeaders() replaces the key and the name that a caller states wherever there are customers', (t) => {
  const attempt = { ...PASSED, upstream: 'i-1', rank: 1 }
  t.snapshot({
    customer: attemptHeaders({ ...attempt, identity: { customer: 'hule930' } }).join(' '),
    resumed: attemptHeaders({ ...attempt, lastEventId: '12', identity: { customer: 'hule930' } }).join(' '),
    anonymous: attemptHeaders({ ...attempt, identity: { customer: undefined } }).join(' '),
    withoutCustomers: attemptHeaders(attempt).join(' ')
  })
})

test('attemptHeaders() combines the ranks of customer and route in ten priorities', (t) => {
  const priority = (rank: number, routeRank?: number) => /Request-Priority (\S+)/.exec(attemptHeaders({ ...PASSED, upstream: 'i-1', rank, ...routeRank === undefined ? {} : { routeRank } }).join(' '))?.[1]
  t.deepEqual([priority(0, 0), priority(0, 1), priority(0, 5), priority(1, 0), priority(2, 2), priority(3, 0), priority(3, 2), priority(7, 0)], ['0', '1', '2', '3', '8', '9', '9', '9'])
  t.deepEqual([priority(0), priority(5), priority(12)], ['0', '5', '9'])
})

// The release before drops neither of both headers at its upstreams, so that the key must not be handed to it.
test('a handover names the customer to this release and to the one before', (t) => {
  const request = { ...PASSED, callerAddress: '10.0.0.9', maxRuns: 2, softwareVersion: undefined }
  const headers = (identity?: { readonly customer: string | undefined }) => handoverHeaders({ ...request, ...identity === undefined ? {} : { identity } })
  t.snapshot([headers({ customer: 'hule930' }), headers({ customer: undefined }), headers()].map((list) => list.join(' ')))
  const read = (list: readonly string[]) => readHandoverHeaders(Object.fromEntries(list.flatMap((name, i) => i % 2 === 0 ? [[name.toLowerCase(), list[i + 1]]] : []))).identity
  t.deepEqual([read(headers({ customer: 'hule930' })), read(headers({ customer: undefined })), read(headers())], [{ customer: 'hule930' }, { customer: undefined }, undefined])
})

test('authorizationValues() returns each header, of which Node keeps the first only', (t) => {
  t.deepEqual(authorizationValues(['authorization', 'Token a', 'Host', 'authorization', 'AUTHORIZATION', 'Token b']), ['Token a', 'Token b'])
})

test('readHostSettings() reads whether running requests of removed keys end', (t) => {
  const settings = { NodeName: 'edge-1', Ip: '127.0.0.1', Zone: 'a', Listen: { Front: 'a:1', Ready: 'a:2', Control: 'a:3' }, InternalPorts: [4, 5], Platform: { Address: 'a:6' } }
  const bounds = { DrainMs: 1, ConfigMs: 1, GraceS: 1, RetryBudgetRatio: 1, RetrySlack: 1, BudgetWindowS: 1, FencingEnforced: true, LeaseMs: 1 }
  const revocationMs = (fields: object) => readHostSettings(JSON.stringify({ ...settings, Bounds: { ...bounds, ...fields } }), 'settings.json')._unsafeUnwrap().bounds.revocationMs
  t.deepEqual([{}, { StrictRevocation: null, RevokeMs: null }, { StrictRevocation: false, RevokeMs: 800 }, { StrictRevocation: true, RevokeMs: 800 }, { StrictRevocation: true }].map(revocationMs), [undefined, undefined, undefined, 800, 3000])
})

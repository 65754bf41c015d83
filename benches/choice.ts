/**
 * Measures the time of one choice among upstreams, by the current code and by that of commit 5830e61, in turn in one process.
 *
 * Usage: node --conditions=source --import=tsx benches/choice.ts
 *
 * @module
 */
import { recordPrompt, type KeptParts } from '@berylshed/prompt_cache'
import { chooseUpstream, newServingState, updateTargetLoad, type Request, type ServingState } from '@berylshed/serving'
import { build } from 'hdr-histogram-js'
import { chooseEarlier } from '../packages/serving/_test_earlier_choice.ts'
import { testEngineTarget, testRequest } from '../packages/serving/_test_serving.ts'

const [WARM_UP, CHOICES, PARTS, PARTS_PER_UPSTREAM] = [2000, 8000, 1000, 60]

interface Size { readonly upstreams: number, readonly offering: number }

function createState ({ upstreams, offering }: Size): ServingState {
  const names = Array.from({ length: upstreams }, (_, i) => `engine-${i}`)
  const targets = new Map(names.map((name, i) => [name, testEngineTarget(name, i < offering ? { m: [], x: [], y: [] } : { x: [], y: [], z: [] })]))
  const state = { ...newServingState({ availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 } }), targets, instances: 64 }
  return names.reduce<ServingState>((next, name, i) => {
    let kept: KeptParts | undefined
    for (let n = 0; n < PARTS_PER_UPSTREAM; n += 1) kept = recordPrompt(kept, { model: 'm', adapter: undefined, parts: [`p${(i * 7 + n) % PARTS}`], tokens: [172] }, { incarnation: 1, readTokens: n * 172 })
    const loaded = updateTargetLoad(next, name, (load) => ({ ...load, ownRequests: i % 3, peerRequests: i % 9, firstByteMs: 20 + i % 30, recentFirstByteMs: 20 + i % 40, observedAtMs: 0, tokenMs: 3 + i % 4 }))
    return kept === undefined ? loaded : { ...loaded, keptPrompts: new Map(loaded.keptPrompts).set(name, kept) }
  }, state)
}

function createRequest (i: number, sticky: boolean): Request {
  const prompt = sticky ? { sticky, promptParts: [`p${i % PARTS}`, `session-${i}`], promptPartTokens: [172, 371] } : {}
  const received = testRequest(`c${i}.request`, { service: 'drafts', model: 'm', promptTokens: 543, outputTokens: 200, ...prompt })
  return { ...received, phase: 'waiting', softwareVersion: undefined, attempts: [], runs: 0, refusedBy: [], abandoned: false, waitingSinceMs: 0, respondingSinceMs: undefined, enduredFor: undefined, hasErrorResponse: false }
}

// Returns the 50th and 99th percentile in ms. Garbage of one variant is collected in the time of either, as they take turns.
function measure (state: ServingState, variants: ReadonlyArray<(request: Request) => unknown>, sticky: boolean): readonly string[] {
  const histograms = variants.map(() => build({ numberOfSignificantValueDigits: 3 }))
  for (let i = 0; i < WARM_UP + CHOICES; i += 1) {
    const request = createRequest(i, sticky)
    for (const [v, variant] of variants.entries()) {
      const startMs = performance.now()
      variant(request)
      if (i >= WARM_UP) histograms[v]?.recordValue(Math.round((performance.now() - startMs) * 1000))
    }
  }
  return histograms.map((histogram) => `${histogram.getValueAtPercentile(50) / 1000} / ${histogram.getValueAtPercentile(99) / 1000}`)
}

const rows: Array<Record<string, unknown>> = []
for (const size of [{ upstreams: 300, offering: 300 }, { upstreams: 300, offering: 8 }]) {
  for (const sticky of [false, true]) {
    const state = createState(size)
    const [earlier, current] = measure(state, [(request) => chooseEarlier(state, request, 100), (request) => chooseUpstream(state, request, 100)], sticky)
    rows.push({ ...size, sticky, 'earlier p50 / p99 ms': earlier, 'current p50 / p99 ms': current })
  }
}
console.table(rows)

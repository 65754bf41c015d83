import { step, type Step } from '@berylshed/reducer'
import type { CrashEvidence } from './crash_evidence.ts'
import type { ServingEffect } from './serving_effect.ts'
import type { ServingState } from './serving_state.ts'

/** Replaces the crash evidence, records changed quarantines and requests a report to other instances. */
export function changeEvidence (state: ServingState, evidence: CrashEvidence, nowMs: number): Step<ServingState, ServingEffect> {
  const before = state.evidence
  if (evidence === before) return step(state)
  const imposed = [...evidence.quarantines].filter(([key, { offences }]) => before.quarantines.get(key)?.offences !== offences)
  const lifted = [...before.quarantines.keys()].filter((key) => !evidence.quarantines.has(key))
  const records: readonly ServingEffect[] = [
    ...imposed.map(([key, { offences, untilMs, own, crashes }]): ServingEffect => ({
      kind: 'record',
      record: {
        what: 'quarantined', reason: key, detail: own ? 'crashes' : 'another instance', crashes, offences, leftMs: untilMs - nowMs
      }
    })),
    ...lifted.map((key): ServingEffect => ({ kind: 'record', record: { what: 'quarantine_lifted', reason: key } }))
  ]
  const changed = evidence.version !== before.version
  return step({ ...state, evidence }, changed ? [...records, { kind: 'evidence_changed' }] : records)
}

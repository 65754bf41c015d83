import { HashMap, Option } from 'effect'
import type { CustomerLoad, RequestsState } from './requests_state.ts'
import type { CustomerRules } from './rules.ts'
import { fullBucket, refillBucket, type BucketLimit } from './token_bucket.ts'

/** Gives this instance's share of a customer's limit. */
export function shareOf (limit: BucketLimit, shares: number): BucketLimit {
  return { perSecond: limit.perSecond / shares, burst: Math.max(1, limit.burst / shares) }
}

/** Gives a customer's load with its buckets refilled. */
export function customerLoad (state: RequestsState, rules: CustomerRules, nowMs: number): CustomerLoad {
  const requests = shareOf(rules.requests, state.shares)
  const tokens = shareOf(rules.tokens, state.shares)
  const known = Option.getOrUndefined(HashMap.get(state.customers, rules.name))
  if (known === undefined) {
    return { requests: fullBucket(requests, nowMs), tokens: fullBucket(tokens, nowMs), open: 0, running: 0 }
  }
  return {
    ...known,
    requests: refillBucket(known.requests, requests, { nowMs }),
    tokens: refillBucket(known.tokens, tokens, { nowMs })
  }
}

/** Changes the counts of a customer that is already known. */
export function changeCustomer (
  state: RequestsState,
  customer: string,
  change: (load: CustomerLoad) => CustomerLoad
): RequestsState {
  return { ...state, customers: HashMap.modify(state.customers, customer, change) }
}

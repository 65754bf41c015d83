import { HashMap, Option } from 'effect'
import type { CustomerLoad, RequestsState } from './requests_state.ts'
import type { CustomerRules } from './rules.ts'
import { fullBucket, refillBucket, type BucketLimit } from '@berylshed/limits'

/** Returns the share of a customer's limit that one of the live instances enforces. */
export function divideLimit (limit: BucketLimit, instanceCount: number): BucketLimit {
  return { perSecond: limit.perSecond / instanceCount, burst: Math.max(1, limit.burst / instanceCount) }
}

/** Returns the load of a customer with its buckets refilled. */
export function customerLoad (state: RequestsState, rules: CustomerRules, nowMs: number): CustomerLoad {
  const requestLimit = divideLimit(rules.requests, state.instanceCount)
  const tokenLimit = divideLimit(rules.tokens, state.instanceCount)
  const known = Option.getOrUndefined(HashMap.get(state.customers, rules.name))
  if (known === undefined) {
    return { requestBucket: fullBucket(requestLimit, nowMs), tokenBucket: fullBucket(tokenLimit, nowMs), openRequests: 0, runningRequests: 0 }
  }
  return {
    ...known,
    requestBucket: refillBucket(known.requestBucket, requestLimit, { nowMs }),
    tokenBucket: refillBucket(known.tokenBucket, tokenLimit, { nowMs })
  }
}

/** Updates the load of a customer; does nothing for a customer without load. */
export function updateCustomer (
  state: RequestsState,
  customer: string,
  change: (load: CustomerLoad) => CustomerLoad
): RequestsState {
  return { ...state, customers: HashMap.modify(state.customers, customer, change) }
}

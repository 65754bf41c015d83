/** Tokens that a customer is granted in a round: about one request of the deployments that have customers, so that none waits for more of a hot one than needed. */
const ROUND_TOKENS = 1000
/** Rounds that a customer may catch up on: its usual arrivals come in bursts of a few requests, which a hot customer would otherwise go between. */
const CREDIT_ROUNDS = 8
/** Tokens that a request counts if its caller states none: about one request of the deployments that have customers. */
const UNSTATED_TOKENS = 1000

/** A request as its customer's share counts it. */
export interface SharingRequest {
  readonly customer?: string
  readonly promptTokens?: number
  readonly outputTokens?: number
}

/**
 * Shares of the customers of one rank, by start-time fair queueing in rounds.
 *
 * Only customers that have used more than the rounds before the ones they may catch up on granted have an entry, so the state is bounded by the customers that were
 * lately served.
 */
export interface FairShares {
  /** The current round. */
  readonly round: number
  /** Tokens used, counted like those that rounds have granted, by customer. */
  readonly used: ReadonlyMap<string, number>
}

/** Shares of customers none of which has used anything. */
export const EQUAL_SHARES: FairShares = { round: 0, used: new Map() }

/**
 * Returns the round in which each waiting request has its turn.
 *
 * Load: one of ten customers sends 20 times its usual requests while half of the upstreams are gone. In the order of due times it
 * takes two thirds of what is left. In rounds it takes no more than any other customer that still waits.
 *
 * @param requests The requests of one rank; those of each customer are in the order in which they are to be served.
 * @param shares The shares.
 * @returns The round of each request, in the order of the requests, and the shares at the round of the first one.
 *
 * @example
 * ```ts
 * const { rounds } = fairRounds([{ customer: 'a' }, { customer: 'b' }], EQUAL_SHARES)
 * ```
 */
export function fairRounds (requests: readonly SharingRequest[], shares: FairShares): { readonly rounds: readonly number[], readonly shares: FairShares } {
  const used = new Map(shares.used)
  const rounds = requests.map((request) => {
    const customer = request.customer ?? ''
    const before = Math.max(_creditFrom(shares.round), used.get(customer) ?? -Infinity)
    used.set(customer, before + _tokensOf(request))
    return Math.floor(before / ROUND_TOKENS)
  })
  const round = rounds.reduce((least, other) => Math.min(least, other), Infinity)
  return { rounds, shares: round === Infinity || round <= shares.round ? shares : { round, used: _above(shares.used, round) } }
}

/**
 * Counts a request that was sent against its customer's share.
 *
 * @param shares The shares.
 * @param request The request.
 * @returns The shares.
 *
 * @example
 * ```ts
 * const next = chargeShare(shares, { customer: 'a', promptTokens: 543, outputTokens: 200 })
 * ```
 */
export function chargeShare (shares: FairShares, request: SharingRequest): FairShares {
  const customer = request.customer ?? ''
  const before = Math.max(_creditFrom(shares.round), shares.used.get(customer) ?? -Infinity)
  return { ...shares, used: new Map(shares.used).set(customer, before + _tokensOf(request)) }
}

function _tokensOf ({ promptTokens, outputTokens }: SharingRequest): number {
  return Math.max(1, promptTokens === undefined && outputTokens === undefined ? UNSTATED_TOKENS : (promptTokens ?? 0) + (outputTokens ?? 0))
}

// Returns the tokens from which a customer counts that has used nothing lately.
function _creditFrom (round: number): number {
  return (round - CREDIT_ROUNDS) * ROUND_TOKENS
}

function _above (used: FairShares['used'], round: number): FairShares['used'] {
  return new Map([...used].filter(([, tokens]) => tokens > _creditFrom(round)))
}

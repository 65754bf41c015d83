/** Counters of one process for one customer. They only grow, so that lost, repeated and late messages do no harm. */
export interface QuotaCounters {
  /** Units charged. */
  readonly spent: number
  /** Units given back, as the requests certainly did not run. */
  readonly refunded: number
  /** Units asked for, whether they were charged or refused. */
  readonly requested: number
}

/** What a process reports of one customer. */
export interface QuotaUsage extends QuotaCounters {
  readonly customer: string
  /** Units charged, less those given back, that a lease holder has acknowledged. */
  readonly acknowledged: number
  /** Content of the customer's bucket by the last answer, with what it has gained since; undefined if it is not known. */
  readonly level: number | undefined
}

/** What a process reports to the lease holder. */
export interface QuotaReport {
  readonly usage: readonly QuotaUsage[]
  /** Time since the last acknowledged report, in ms; Infinity if there was none. */
  readonly acknowledgedAgoMs: number
}

/** What an instance may spend for one customer until the next answer. */
export interface QuotaAllowance {
  readonly customer: string
  /** Content of the bucket of all instances together; negative after an overdraft. */
  readonly level: number
  /** The instance's share of the content. */
  readonly units: number
  /** Units per second that the instance's share gains. */
  readonly perS: number
  /** Units per second that the other instances spend. */
  readonly othersPerS: number
}

/** Allowances in the answer to a report. */
export interface QuotaAnswer {
  /** Allowances of the customers that have used their quota lately, at this instance or at others. */
  readonly allowances: readonly QuotaAllowance[]
  /** Whether the buckets of all other customers are full. */
  readonly isComplete: boolean
}

/** Time for which an allowance is valid, in ms: ten heartbeats. */
export const ALLOWANCE_LIFE_MS = 2000

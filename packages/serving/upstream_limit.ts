/** Limit on its requests that an upstream names in its responses. */
export interface UpstreamLimit {
  /** Incarnation of the upstream that named it. */
  readonly incarnation: number
  /** Requests per second from all instances together; Infinity if the newest response named no limit. */
  readonly perS: number
  /** Local time of the newest response that named it or none, in ms. */
  readonly statedAtMs: number
}

/** Resident memory of a process that holds little, after some time of work and with garbage, in bytes. */
const BASE_BYTES = 112 * 1024 * 1024
/** The same of the part on the heap, in bytes. */
const BASE_HEAP_BYTES = 40 * 1024 * 1024
/** Share of the remaining memory that may be held; garbage that is not collected yet and fragments take the rest. */
const HELD_SHARE = 0.65
/** Share of the memory that may be held for each kind: objects on the heap, request bodies and responses. Seldom are all taken at once. */
const OBJECTS_SHARE = 0.4
const REQUEST_BODIES_SHARE = 0.45
const RESPONSES_SHARE = 0.267
/** Share of the heap's remaining size that objects may fill before the garbage collector takes most of the processor time. */
const HEAP_SHARE = 0.6
/** Minimum share of the memory that may be held, for instances with little more than what an idle process takes. */
const MIN_HELD_SHARE = 0.1
/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200
/** Descriptors for listeners, the store, engines, other instances and idle connections to upstreams. */
const OWN_DESCRIPTORS = 300
/** Share of the other descriptors that callers may take; requests need the rest for their upstreams, and more if there are fewer callers. */
const CALLERS_SHARE = 0.96

/** What an instance may hold. */
export interface InstanceLimits {
  /** Objects on the heap, in bytes. */
  readonly objectBytes: number
  /** Bodies of requests, in bytes. */
  readonly requestBodyBytes: number
  /** Responses that are collected or not read yet, in bytes. */
  readonly responseBytes: number
  /** Connections of callers and other instances together with those to upstreams. */
  readonly sockets: number
  /** Connections of callers and other instances. */
  readonly connections: number
}

/** Limits of a process. */
export interface ProcessLimits {
  /** Resident memory above which the platform ends the process, in bytes. */
  readonly memoryBytes: number
  /** Size that the heap may have, in bytes. */
  readonly heapBytes: number
  /** Number of file descriptors. */
  readonly maxDescriptors: number
}

/**
 * Divides the memory and the descriptors of a process.
 *
 * @param limits The limits of the process.
 * @returns What may be held of each kind.
 *
 * @example
 * ```ts
 * const { connections } = instanceLimits({ memoryBytes: 480 * 2 ** 20, heapBytes: 256 * 2 ** 20, maxDescriptors: 6300 })
 * ```
 */
export function instanceLimits ({ memoryBytes, heapBytes, maxDescriptors }: ProcessLimits): InstanceLimits {
  const heldBytes = Math.max((memoryBytes - BASE_BYTES) * HELD_SHARE, memoryBytes * MIN_HELD_SHARE)
  const sockets = Math.max(1, maxDescriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS)
  return {
    objectBytes: Math.floor(Math.min(heldBytes * OBJECTS_SHARE, Math.max(heapBytes - BASE_HEAP_BYTES, heapBytes / 2) * HEAP_SHARE)),
    requestBodyBytes: Math.floor(heldBytes * REQUEST_BODIES_SHARE),
    responseBytes: Math.floor(heldBytes * RESPONSES_SHARE),
    sockets,
    connections: Math.max(1, Math.floor(sockets * CALLERS_SHARE))
  }
}

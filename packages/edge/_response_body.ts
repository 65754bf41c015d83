import type { HeldMemory } from './_response_memory.ts'

/** Size of the parts that hold a body, in bytes; memory is given back part by part. */
const PART_BYTES = 64 * 1024
/** Size of the first part of a body of unknown length, in bytes; each next one is twice as large. */
const FIRST_PART_BYTES = 4 * 1024

/** A body that was collected, with the memory that it holds. */
export interface ResponseBody {
  readonly bytes: number
  /** Consecutive parts of the body. */
  readonly parts: readonly Buffer[]
  readonly memory: HeldMemory
}

/** A body that is being collected. */
export interface CollectedBody {
  bytes (): number
  /** Returns how much has to be held besides what is held to add a chunk, in bytes. */
  lackingBytes (chunk: Buffer): number
  /** Adds a chunk; what it needs has to be held. */
  add (chunk: Buffer): void
  /** Returns the whole body. */
  whole (): ResponseBody
}

/**
 * Collects a body in parts of its own, as chunks may be of one byte each and refer to larger ones.
 *
 * @param memory What the body holds.
 * @param length Length of the body in bytes, all of which is held before; undefined if it is unknown.
 */
export function collectBody (memory: HeldMemory, length: number | undefined): CollectedBody {
  const parts: Buffer[] = []
  let [bytes, capacity, last, filled] = [0, 0, Buffer.alloc(0), 0]

  function nextPartBytes (atCapacity: number): number {
    if (length !== undefined) return Math.max(1, Math.min(PART_BYTES, length - atCapacity))
    return Math.min(PART_BYTES, Math.max(FIRST_PART_BYTES, atCapacity))
  }

  function lackingBytes (chunk: Buffer): number {
    let neededBytes = capacity
    while (neededBytes < bytes + chunk.length) neededBytes += nextPartBytes(neededBytes)
    return Math.max(0, neededBytes - memory.bytes())
  }

  function add (chunk: Buffer): void {
    let copied = 0
    while (copied < chunk.length) {
      if (filled === last.length) {
        last = Buffer.allocUnsafeSlow(nextPartBytes(capacity))
        parts.push(last)
        capacity += last.length
        filled = 0
      }
      const part = chunk.copy(last, filled, copied)
      copied += part
      filled += part
    }
    bytes += chunk.length
  }

  return {
    bytes: () => bytes,
    lackingBytes,
    add,
    whole: () => ({ bytes, parts: parts.map((part, i) => i === parts.length - 1 ? part.subarray(0, filled) : part), memory })
  }
}

/** Number of chunks that are joined to one; as many small chunks take 100 KB, and each byte is copied once. */
const JOINED_CHUNKS = 512

/** Chunks of a body, in order. */
export interface ChunkList {
  /** Adds a chunk. */
  add (chunk: Buffer): void
  /** Returns the number of bytes added. */
  bytes (): number
  /** Returns all bytes added. */
  concat (): Buffer
}

/**
 * Creates an empty list of chunks that takes little more memory than their bytes.
 *
 * A chunk of one byte is an object of some hundred bytes, and keeps what was read from the connection together with it.
 *
 * @returns The list.
 *
 * @example
 * ```ts
 * const chunks = createChunkList()
 * chunks.add(Buffer.from('a'))
 * console.log(chunks.bytes()) // 1
 * ```
 */
export function createChunkList (): ChunkList {
  const joined: Buffer[] = []
  let latest: Buffer[] = []
  let bytes = 0
  return {
    add: (chunk) => {
      bytes += chunk.length
      latest.push(chunk)
      if (latest.length < JOINED_CHUNKS) return
      joined.push(Buffer.concat(latest))
      latest = []
    },
    bytes: () => bytes,
    concat: () => Buffer.concat([...joined, ...latest])
  }
}

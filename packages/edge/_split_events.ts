/** Complete events of a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer
  /** Ids of the events that have one, in order. */
  readonly ids: readonly string[]
}

/** Splits a stream of server-sent events at event boundaries. */
export interface EventSplitter {
  /** Returns the events that a chunk completes, or undefined if there are none. */
  push (chunk: Buffer): CompleteEvents | undefined
  /** Returns the size of the buffered incomplete event, in bytes. */
  partialBytes (): number
}

const EVENT_END = Buffer.from('\n\n')
const ID_FIELD = 'id:'

/** Creates a splitter for one stream; an empty line ends an event. */
export function createEventSplitter (): EventSplitter {
  let partial: Buffer = Buffer.alloc(0)

  function push (chunk: Buffer): CompleteEvents | undefined {
    const buffered = partial.length === 0 ? chunk : Buffer.concat([partial, chunk])
    const end = buffered.lastIndexOf(EVENT_END)
    if (end < 0) {
      partial = buffered
      return undefined
    }
    const bytes = buffered.subarray(0, end + EVENT_END.length)
    partial = Buffer.from(buffered.subarray(end + EVENT_END.length))
    return { bytes, ids: _ids(bytes) }
  }

  return { push, partialBytes: () => partial.length }
}

function _ids (events: Buffer): readonly string[] {
  return events.toString('latin1').split('\n').filter((line) => line.startsWith(ID_FIELD)).map((line) => line.slice(ID_FIELD.length).trim()).filter((id) => id !== '')
}

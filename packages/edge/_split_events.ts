/** Whole events of a stream. */
export interface WholeEvents {
  readonly bytes: Buffer
  /** Id of the last of them that has one. */
  readonly lastId: string | undefined
}

/** Cuts a stream into whole events. */
export interface EventSplitter {
  /** Gives the events that a chunk completes. */
  push (chunk: Buffer): WholeEvents | undefined
  /** Whether part of an event is held back. */
  hasRest (): boolean
}

const EVENT_END = Buffer.from('\n\n')
const ID_FIELD = 'id:'

/** Creates a splitter for one stream; events end with an empty line. */
export function createEventSplitter (): EventSplitter {
  let rest: Buffer = Buffer.alloc(0)

  function push (chunk: Buffer): WholeEvents | undefined {
    const held = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
    const end = held.lastIndexOf(EVENT_END)
    if (end < 0) {
      rest = held
      return undefined
    }
    const bytes = held.subarray(0, end + EVENT_END.length)
    rest = Buffer.from(held.subarray(end + EVENT_END.length))
    return { bytes, lastId: _lastId(bytes) }
  }

  return { push, hasRest: () => rest.length > 0 }
}

function _lastId (events: Buffer): string | undefined {
  const line = events.toString('latin1').split('\n').findLast((text) => text.startsWith(ID_FIELD))
  return line?.slice(ID_FIELD.length).trim()
}

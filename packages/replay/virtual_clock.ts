/** A queue of actions scheduled in virtual time. */
export interface VirtualClock {
  /** Returns the current virtual time, in ms. */
  nowMs (): number
  /** Schedules an action; actions scheduled for the same time run in the order in which they were scheduled. */
  at (timeMs: number, action: () => void): void
  /** Schedules an action after a delay. */
  after (delayMs: number, action: () => void): void
  /** Runs all actions scheduled up to and including `timeMs`, and advances the clock to it. */
  runUntil (timeMs: number): void
}

interface _ScheduledAction {
  readonly timeMs: number
  readonly sequence: number
  readonly action: () => void
}

/**
 * Creates a virtual clock that starts at 0.
 *
 * @returns The clock.
 *
 * @example
 * ```ts
 * const clock = createVirtualClock()
 * clock.after(10, () => console.log(clock.nowMs())) // 10
 * clock.runUntil(20)
 * ```
 */
export function createVirtualClock (): VirtualClock {
  const heap: _ScheduledAction[] = []
  let nowMs = 0
  let scheduledCount = 0

  function at (timeMs: number, action: () => void): void {
    heap.push({ timeMs: Math.max(nowMs, timeMs), sequence: scheduledCount, action })
    scheduledCount += 1
    _siftUp(heap)
  }

  function runUntil (timeMs: number): void {
    for (let next = heap[0]; next !== undefined && next.timeMs <= timeMs; next = heap[0]) {
      _removeFirst(heap)
      nowMs = next.timeMs
      next.action()
    }
    nowMs = timeMs
  }

  return { nowMs: () => nowMs, at, after: (delayMs, action) => at(nowMs + delayMs, action), runUntil }
}

function _runsBefore (a: _ScheduledAction | undefined, b: _ScheduledAction | undefined): boolean {
  if (a === undefined || b === undefined) return false
  return a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.sequence < b.sequence)
}

function _swap (heap: _ScheduledAction[], i: number, j: number): void {
  const a = heap[i]
  const b = heap[j]
  if (a === undefined || b === undefined) return
  heap[i] = b
  heap[j] = a
}

function _siftUp (heap: _ScheduledAction[]): void {
  for (let i = heap.length - 1; i > 0;) {
    const parent = (i - 1) >> 1
    if (!_runsBefore(heap[i], heap[parent])) return
    _swap(heap, i, parent)
    i = parent
  }
}

function _removeFirst (heap: _ScheduledAction[]): void {
  const last = heap.pop()
  if (last === undefined || heap.length === 0) return
  heap[0] = last
  for (let i = 0; ;) {
    const left = 2 * i + 1
    const smaller = _runsBefore(heap[left + 1], heap[left]) ? left + 1 : left
    if (!_runsBefore(heap[smaller], heap[i])) return
    _swap(heap, i, smaller)
    i = smaller
  }
}

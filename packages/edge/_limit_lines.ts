const WINDOW_MS = 1000

/**
 * Returns a function that limits the log lines of each kind to a number per second, so that callers cannot crowd out other lines. It returns
 * how many lines of the kind were left out before this one, or undefined if this one is left out as well.
 */
export function limitLines (maxPerS: number, nowMs: () => number): (kind: string) => number | undefined {
  const windows = new Map<string, { startedAtMs: number, written: number, unreported: number }>()
  return (kind) => {
    const now = nowMs()
    const known = windows.get(kind)
    const window = known ?? { startedAtMs: now, written: 0, unreported: 0 }
    if (known === undefined) windows.set(kind, window)
    if (now - window.startedAtMs >= WINDOW_MS) [window.startedAtMs, window.written] = [now, 0]
    if (window.written >= maxPerS) {
      window.unreported += 1
      return undefined
    }
    const { unreported } = window
    window.written += 1
    window.unreported = 0
    return unreported
  }
}

import { readdirSync, readFileSync, readlinkSync } from 'node:fs'

/** Interval between samples of memory, in ms, and number of these for one of the descriptors, which takes longer. */
const SAMPLE_MS = 25
const SAMPLES_PER_COUNT = 8
/** Descriptors that the platform reserves for files, see the given pages. */
export const FILE_DESCRIPTORS = 200
const KB_PER_MB = 1024
const SIGHUP_BIT = 1n

/** Limits of a process, as in its settings. */
export interface ProcessLimits {
  readonly MemoryMb: number
  readonly MaxFds: number
}

/** Peaks of a process. */
export interface ProcessPeaks {
  /** Peak of resident memory, in MB. */
  peakMb: number
  /** Most descriptors, and most sockets and pipes among them. These are looked at near the limit only. */
  descriptors: number
  channels: number
}

function readStatus (pid: number): string {
  try {
    return readFileSync(`/proc/${pid}/status`, 'utf8')
  } catch {
    // The process has ended.
    return ''
  }
}

function countDescriptors (pid: number, limit: number): { readonly all: number, readonly channels: number } {
  try {
    const folder = `/proc/${pid}/fd`
    const names = readdirSync(folder)
    const channels = names.length <= limit ? 0 : names.filter((name) => /^(socket|pipe):/.test(readlinkSync(`${folder}/${name}`))).length
    return { all: names.length, channels }
  } catch {
    // The process, or a descriptor, has gone.
    return { all: 0, channels: 0 }
  }
}

/** Reports whether a process handles SIGHUP; Node has no handler of its own, so this is so once the program has one. */
export function handlesHangup (pid: number): boolean {
  const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(readStatus(pid))?.[1]
  return caught !== undefined && (BigInt(`0x${caught}`) & SIGHUP_BIT) !== 0n
}

/**
 * Samples the peaks of a process until it ends, as the kernel's record goes with it. Calls `exceeded` once if it holds more memory than it may, as the platform
 * ends such a process. Returns a function that ends the watch.
 */
export function watchProcess (pid: number, limits: ProcessLimits, { peaks, exceeded }: { readonly peaks: ProcessPeaks, exceeded: () => void }): () => void {
  let samples = 0
  const sample = (): void => {
    samples += 1
    const wasWithin = peaks.peakMb <= limits.MemoryMb
    peaks.peakMb = Math.max(peaks.peakMb, Number(/^VmHWM:\s*(\d+) kB$/m.exec(readStatus(pid))?.[1] ?? 0) / KB_PER_MB)
    if (wasWithin && peaks.peakMb > limits.MemoryMb) exceeded()
    if (samples % SAMPLES_PER_COUNT !== 0) return
    const { all, channels } = countDescriptors(pid, limits.MaxFds - FILE_DESCRIPTORS)
    Object.assign(peaks, { descriptors: Math.max(peaks.descriptors, all), channels: Math.max(peaks.channels, channels) })
  }
  const timer = setInterval(sample, SAMPLE_MS)
  return () => clearInterval(timer)
}

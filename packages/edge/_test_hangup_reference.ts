import { spawn } from 'node:child_process'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'

/** Programs that are started at once; the time is that of the slowest. */
const PROGRAMS = 3
const TIMEOUT_MS = 5000
const PROGRAM = 'process.on("SIGHUP", () => {}); process.stdout.write(String(performance.timeOrigin + performance.now())); setInterval(() => {}, 1000)\n'

function nowMs (): number {
  return performance.timeOrigin + performance.now()
}

function measureOne (file: string): Promise<number> {
  const child = spawn(process.execPath, [file], { stdio: ['ignore', 'pipe', 'ignore'] })
  const startedAtMs = nowMs()
  return new Promise((resolve) => {
    const finish = (durationMs: number): void => {
      clearTimeout(timer)
      child.kill('SIGKILL')
      resolve(durationMs)
    }
    const timer = setTimeout(finish, TIMEOUT_MS, TIMEOUT_MS)
    child.stdout.once('data', (chunk: Buffer) => finish(Number(chunk.toString()) - startedAtMs))
  })
}

/** Starts Node programs of one line that handle SIGHUP, and returns the longest time in ms from a start until the program had its handler. */
export async function measureHangupReference (folder: string): Promise<number> {
  const file = join(folder, 'one_line.mjs')
  await writeFile(file, PROGRAM)
  return Math.max(...await Promise.all(Array.from({ length: PROGRAMS }, () => measureOne(file))))
}

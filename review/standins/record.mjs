import { appendFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const startedMs = performance.now()

/** Returns the time since the start of the case, in ms. */
export function sinceStartMs () {
  return Math.round(performance.now() - startedMs)
}

/** Opens the record of a case: one line for each thing that was sent, answered, run or done. */
export function openRecord (folder) {
  const file = join(folder, 'record.txt')
  writeFileSync(file, '')
  let lines = []
  const flush = () => {
    if (lines.length > 0) appendFileSync(file, lines.join(''))
    lines = []
  }
  setInterval(flush, 200).unref()
  return {
    write (who, what, fields = {}) {
      const rest = Object.entries(fields).map(([name, value]) => ` ${name}=${value}`).join('')
      lines.push(`${String(sinceStartMs()).padStart(7)} ${who} ${what}${rest}\n`)
    },
    flush
  }
}

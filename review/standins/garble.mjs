const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Decides which answers of one faulty runner are spoiled: no more than a share `x` of those that it gives while the disruption lasts. */
export class Garble {
  #x
  #active = false
  #answers = 0
  #faults = 0

  constructor (x) {
    this.#x = x
  }

  /** Lets the disruption strike at the given times from now, each time for `forMs`. */
  async strike ({ atMs, forMs, record }) {
    const startedMs = performance.now()
    for (const startMs of atMs) {
      await pause(startMs - (performance.now() - startedMs))
      this.#active = true
      record.write('case', 'disruption begins')
      await pause(forMs)
      this.#active = false
      record.write('case', 'disruption ends', { answers: this.#answers, spoiled: this.#faults })
    }
  }

  /** Counts an answer, and tells whether it is to be spoiled; `fits` is false for one that the case leaves sound. */
  take (fits = true) {
    if (!this.#active) return false
    this.#answers += 1
    if (!fits || this.#faults + 1 > this.#x * this.#answers) return false
    this.#faults += 1
    return true
  }
}

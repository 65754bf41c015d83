import { createProcessSignals } from './_process_signals.ts'
import type { serve } from './serve.ts'

/** The program, which the build puts beside this file. Not a part of it, as it takes longer to read and compile than Node to start. */
const PROGRAM = './serve.mjs'

// This file is built as a CommonJS module, which Node starts sooner than an ES module.
const signals = createProcessSignals()
import(PROGRAM).then(
  async (program: { readonly serve: typeof serve }) => await program.serve(signals),
  (error: unknown) => {
    process.stderr.write(`Cannot start: ${PROGRAM} cannot be loaded; build the program again: ${error instanceof Error ? error.stack ?? error.message : String(error)}\n`)
    process.exitCode = 1
  })

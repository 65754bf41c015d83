/** How a command ended, as the exit code of the process. */
export const EXIT_CODE = {
  done: 0,
  failed: 1,
  /** The input has findings, or the command line is wrong. */
  findings: 2,
  /** Somebody else has changed the configuration meanwhile. */
  conflict: 3,
  /** The instance gave no answer. */
  unreachable: 4
} as const

/** One of the exit codes. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE]

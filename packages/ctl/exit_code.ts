/** Exit codes of the process. */
export const EXIT_CODE = {
  done: 0,
  failed: 1,
  /** The input has findings, or the command line is invalid. */
  findings: 2,
  /** The configuration has been changed concurrently. */
  conflict: 3,
  /** The instance did not respond. */
  unreachable: 4
} as const

/** One of the exit codes. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE]

/** Exit codes of `basilpin`; docs/OPERATING.md lists them for operators. */
export const EXIT_CODES = {
  ok: 0,
  /** The command line was valid, but the operation failed. */
  failed: 1,
  /** The command line or a file is invalid; nothing was changed. */
  usage: 2,
  /** The edit conflicts with another one; nothing was changed. */
  conflict: 3,
  /** No control replica could be reached; the outcome may be unknown. */
  unreachable: 4,
  /** The edit was accepted, but some nodes didn't confirm it in time. */
  unconfirmed: 5,
  /** The credential is missing or unknown; nothing was changed. */
  denied: 6,
} as const;

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

/** Exit codes of `basilpin`; docs/OPERATING.md lists them for operators. */
export const EXIT_CODES = {
  ok: 0,
  /** The request was understood and failed. */
  failed: 1,
  /** The command line or a file is wrong; nothing was changed. */
  usage: 2,
  /** The edit lost against another one; nothing was changed. */
  conflict: 3,
  /** No control replica could be reached; the outcome may be unknown. */
  unreachable: 4,
  /** The edit was accepted, but some nodes haven't confirmed it. */
  unconfirmed: 5,
  /** The credential is missing or unknown; nothing was changed. */
  denied: 6,
} as const;

/** The code of one outcome. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

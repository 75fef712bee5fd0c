/** Verdicts on the requests of one service, by the evidence against them. */
import { isProved } from "./crash_evidence.ts";
import type { CrashEvidence, CrashRecord } from "./crash_evidence.ts";
import type { Fingerprint } from "./quarantine_reducer.ts";

/** What follows from the evidence for the next run of a request. */
export type CrashVerdict =
  | { readonly type: "Clear" }
  /** It may run, but beside no other suspect. */
  | { readonly type: "Suspect" }
  | { readonly type: "Quarantined"; readonly untilMs: number };

/**
 * Quarantine after two ends in a service that ends for another reason as well,
 * until a request is tried again, once and alone: an innocent one may have been
 * proved guilty by ends from outside. By then the backend servers have started
 * again.
 */
const FIRST_QUARANTINE_MS = 5_000;
/**
 * Quarantine after three ends, or after two that nothing but the request
 * explains. Where a service ends over and over for another reason, innocent
 * requests are quarantined too, and this is what they wait once it is mended.
 */
const LATER_QUARANTINE_MS = 600_000;
/**
 * Each further end makes it this many times as long: a request is tried three
 * times on the first day at most, and seven times in a year.
 */
const QUARANTINE_GROWTH = 6;
const FIRST_QUARANTINE_ENDS = 2;
/** Longest time from an end to another one of the same trouble. */
const SAME_TROUBLE_MS = 60_000;

/** The verdicts that follow from one record. */
export class CrashVerdicts {
  readonly #record: CrashRecord;
  /** Lengths of the quarantines of proved requests, as far as computed. */
  readonly #quarantinesMs = new Map<Fingerprint, number>();
  #explained: ReadonlySet<string> | undefined;

  constructor(record: CrashRecord) {
    this.#record = record;
  }

  /** Decides on the next run of a request. */
  evaluate(fingerprint: Fingerprint, nowMs: number): CrashVerdict {
    const evidence = this.#record.get(fingerprint);
    if (evidence === undefined || evidence.ends.length === 0) {
      return { type: "Clear" };
    }
    if (!isProved(evidence)) {
      return { type: "Suspect" };
    }
    const untilMs = evidence.changedAtMs + this.#getQuarantineMs(evidence);
    return untilMs > nowMs
      ? { type: "Quarantined", untilMs }
      : { type: "Suspect" };
  }

  #getQuarantineMs(evidence: CrashEvidence): number {
    const { fingerprint } = evidence;
    const known = this.#quarantinesMs.get(fingerprint);
    const lengthMs = known ?? this.#computeQuarantineMs(evidence);
    this.#quarantinesMs.set(fingerprint, lengthMs);
    return lengthMs;
  }

  #computeQuarantineMs(evidence: CrashEvidence): number {
    const { length } = evidence.ends;
    if (length > FIRST_QUARANTINE_ENDS) {
      return LATER_QUARANTINE_MS *
        QUARANTINE_GROWTH ** (length - FIRST_QUARANTINE_ENDS - 1);
    }
    return this.#countUnexplained(evidence) >= length
      ? FIRST_QUARANTINE_MS
      : LATER_QUARANTINE_MS;
  }

  /**
   * Counts the ends at about the time of those of a request that no proved
   * request explains. As many as its own show that the service ends for another
   * reason, which may have made the request look guilty.
   */
  #countUnexplained({ changedAtMs }: CrashEvidence): number {
    const explained = this.#listExplained();
    const unexplained = [...this.#record.values()]
      .filter((other) =>
        Math.abs(other.changedAtMs - changedAtMs) <= SAME_TROUBLE_MS
      )
      .flatMap(({ ends, pardoned }) => [...listInstances(ends), ...pardoned])
      .filter((instance) => !explained.has(instance));
    return new Set(unexplained).size;
  }

  #listExplained(): ReadonlySet<string> {
    this.#explained ??= new Set(
      [...this.#record.values()].filter(isProved)
        .flatMap(({ ends }) => listInstances(ends)),
    );
    return this.#explained;
  }
}

function listInstances(ends: CrashEvidence["ends"]): readonly string[] {
  return ends.map(({ instance }) => instance);
}

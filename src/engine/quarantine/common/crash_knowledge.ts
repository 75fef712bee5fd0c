/** What a node knows of requests that end backend servers, by service. */
import { evaluateAnswer } from "./answer_proof.ts";
import type { AnswerProof, ObservedAnswer } from "./answer_proof.ts";
import {
  applyEvidence,
  createEndEvidence,
  createPardon,
  EMPTY_CRASH_RECORD,
  isKnown,
  listEliminated,
  mergeEvidence,
  pruneRecord,
} from "./crash_evidence.ts";
import type {
  CrashEvidence,
  CrashRecord,
  EvidencedEnd,
} from "./crash_evidence.ts";
import { flattenEvidence, parseEvidence } from "./crash_messages.ts";
import type { CrashReport } from "./crash_messages.ts";
import { CrashVerdicts } from "./crash_verdicts.ts";
import type { CrashVerdict } from "./crash_verdicts.ts";
import type { Fingerprint } from "./quarantine_reducer.ts";
import {
  createFingerprints,
  createPrefix,
  getPrefix,
} from "./request_identity.ts";
import type {
  ComputeDigest,
  RequestFingerprints,
  RequestIdentity,
} from "./request_identity.ts";

/** What the knowledge depends on. */
export interface CrashKnowledgeOptions {
  readonly computeDigest: ComputeDigest;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
  /** Called with evidence that this node found itself. */
  readonly onFound: (report: CrashReport) => void;
  /** Called when the verdict on a request changes. */
  readonly onVerdictChanged: (change: VerdictChange) => void;
}

/** Where evidence comes from. */
export type EvidenceSource = "own" | "control" | "node";

/** A changed verdict. */
export interface VerdictChange {
  readonly service: string;
  readonly evidence: CrashEvidence;
  readonly before: CrashVerdict["type"];
  readonly after: CrashVerdict["type"];
  readonly source: EvidenceSource;
  /** The evidence before, which the change may have taken back. */
  readonly former: CrashEvidence | undefined;
  /** The answer that changed it; undefined if this node observed none. */
  readonly answer: ObservedAnswer | undefined;
}

/** The verdict on a request, and the evidence for it. */
export interface Judgement {
  readonly verdict: CrashVerdict;
  /** Fingerprint without the caller; empty if nothing is recorded. */
  readonly fingerprint: Fingerprint;
  /** Empty if nothing is recorded. */
  readonly evidence: readonly CrashEvidence[];
}

/** A run that was in progress when its backend server ended. */
export interface EndedRun {
  readonly request: RequestIdentity;
  /** Whether no other suspect ran. */
  readonly isOnlySuspect: boolean;
  /** Time from its hand-over to the end in ms; undefined if unknown. */
  readonly ranMs?: number | undefined;
}

/** The evidence that one run gives. */
export interface RecordedEnd {
  readonly fingerprints: RequestFingerprints;
  readonly end: EvidencedEnd;
}

interface ServiceRecord {
  record: CrashRecord;
  verdicts: CrashVerdicts;
  /** First parts of the recorded fingerprints. */
  prefixes: ReadonlySet<string>;
  /** Own evidence that control hasn't confirmed, by fingerprint. */
  readonly unreported: Map<Fingerprint, CrashEvidence>;
}

/** The verdict on a request about which nothing is recorded. */
export const CLEAR_JUDGEMENT: Judgement = {
  verdict: { type: "Clear" },
  fingerprint: "",
  evidence: [],
};
const VERDICT_RANKS = { Clear: 0, Suspect: 1, Quarantined: 2 } as const;
/** Most requests in one report; others follow with the next. */
const MAX_REPORTED = 256;
/** Evidence that control doesn't confirm in this time is no longer reported. */
const REPORT_TTL_MS = 60_000;

/** Holds the evidence, and collects what is to be reported to control. */
export class CrashKnowledge {
  readonly #options: CrashKnowledgeOptions;
  readonly #services = new Map<string, ServiceRecord>();

  constructor(options: CrashKnowledgeOptions) {
    this.#options = options;
  }

  /** Whether any evidence about requests of a service is recorded. */
  hasRecord(service: string): boolean {
    return (this.#services.get(service)?.record.size ?? 0) > 0;
  }

  /** Returns the verdict on a request. */
  evaluate(service: string, request: RequestIdentity): Judgement {
    const fingerprints = this.#findRecorded(service, request);
    if (fingerprints === undefined) {
      return CLEAR_JUDGEMENT;
    }
    const { record, verdicts } = this.#services.get(service)!;
    const nowMs = this.#options.readClock();
    const evidence = fingerprints.flatMap((fingerprint) =>
      record.get(fingerprint) ?? []
    );
    const verdict = evidence
      .map(({ fingerprint }) => verdicts.evaluate(fingerprint, nowMs))
      .reduce(selectWorse, CLEAR_JUDGEMENT.verdict);
    return { verdict, fingerprint: fingerprints[0], evidence };
  }

  /** Records the end of a process instance, with all that it ran. */
  recordEnd(
    service: string,
    instance: string,
    runs: readonly EndedRun[],
  ): readonly RecordedEnd[] {
    const { computeDigest, readClock } = this.#options;
    const nowMs = readClock();
    const prints = runs.map(({ request }) =>
      createFingerprints(request, computeDigest)
    );
    const others = new Set(prints.map(([common]) => common)).size - 1;
    const recorded = runs.map((
      { isOnlySuspect, ranMs },
      index,
    ): RecordedEnd => ({
      fingerprints: prints[index]!,
      end: {
        instance,
        wasAlone: isOnlySuspect || others === 0,
        others,
        afterMs: ranMs,
      },
    }));
    this.#addOwn(
      service,
      recorded.flatMap((each) => listEvidence(each, nowMs)),
    );
    return recorded;
  }

  /** Records an end that a gate reports about one attempt of this node. */
  recordReportedEnd(
    service: string,
    request: RequestIdentity,
    end: EvidencedEnd,
  ): void {
    const { computeDigest, readClock } = this.#options;
    const fingerprints = createFingerprints(request, computeDigest);
    this.#addOwn(service, listEvidence({ fingerprints, end }, readClock()));
  }

  /**
   * Records an answer. That of a whole run shows that the request didn't cause
   * the ends recorded. Returns what it proves about a suspect.
   */
  recordAnswer(
    service: string,
    request: RequestIdentity,
    answer: ObservedAnswer,
  ): AnswerProof | undefined {
    const fingerprints = this.#findRecorded(service, request);
    if (fingerprints === undefined) {
      return undefined;
    }
    const { record } = this.#services.get(service)!;
    const held = fingerprints
      .flatMap((fingerprint) => record.get(fingerprint) ?? [])
      .filter(({ ends }) => ends.length > 0);
    if (held.length === 0) {
      return undefined;
    }
    const proof = evaluateAnswer(answer, findLongestEnd(held));
    if (proof === "whole") {
      const nowMs = this.#options.readClock();
      const pardons = held.map((evidence) => createPardon(evidence, nowMs));
      this.#addOwn(service, pardons, answer);
    }
    return proof;
  }

  /** Receives the evidence of other processes. */
  receive(
    { service, evidence }: CrashReport,
    source: Exclude<EvidenceSource, "own">,
  ): void {
    const nowMs = this.#options.readClock();
    const parsed = evidence.map((each) => parseEvidence(each, nowMs));
    this.#add(service, parsed, { source });
    if (source === "control") {
      this.#confirmReported(service, parsed);
    }
  }

  /** Creates the reports of own evidence that control hasn't confirmed. */
  createReports(): readonly CrashReport[] {
    const nowMs = this.#options.readClock();
    return [...this.#services].flatMap(([service, { unreported }]) => {
      for (const [fingerprint, { changedAtMs }] of unreported) {
        if (nowMs - changedAtMs > REPORT_TTL_MS) {
          unreported.delete(fingerprint);
        }
      }
      const evidence = [...unreported.values()].slice(0, MAX_REPORTED)
        .map((each) => flattenEvidence(each, nowMs));
      return evidence.length === 0 ? [] : [{ service, evidence }];
    });
  }

  /** Forgets what has expired. */
  prune(): void {
    const nowMs = this.#options.readClock();
    for (const [service, { record }] of this.#services) {
      this.#replace(service, pruneRecord(record, nowMs));
    }
  }

  /** Counts the requests of a service by verdict, without the clear ones. */
  countByVerdict(service: string): Record<"Suspect" | "Quarantined", number> {
    const nowMs = this.#options.readClock();
    const counts = { Clear: 0, Suspect: 0, Quarantined: 0 };
    const known = this.#services.get(service);
    for (const fingerprint of known?.record.keys() ?? []) {
      counts[known!.verdicts.evaluate(fingerprint, nowMs).type] += 1;
    }
    return counts;
  }

  /** Lists the services with evidence. */
  listServices(): readonly string[] {
    return [...this.#services.keys()];
  }

  /** Finds the fingerprints of a request if evidence about it may be recorded. */
  #findRecorded(
    service: string,
    request: RequestIdentity,
  ): RequestFingerprints | undefined {
    const known = this.#services.get(service);
    return known === undefined || !known.prefixes.has(createPrefix(request))
      ? undefined
      : createFingerprints(request, this.#options.computeDigest);
  }

  /** Adds own evidence, and has it reported unless it is known. */
  #addOwn(
    service: string,
    found: readonly CrashEvidence[],
    answer?: ObservedAnswer,
  ): void {
    const known = this.#services.get(service)?.record ?? EMPTY_CRASH_RECORD;
    const evidence = found.filter((each) => !isKnown(known, each));
    if (evidence.length === 0) {
      return;
    }
    this.#add(service, evidence, { source: "own", answer });
    const { unreported } = this.#services.get(service)!;
    for (const each of evidence) {
      const { fingerprint } = each;
      const before = unreported.get(fingerprint);
      unreported.set(fingerprint, mergeEvidence(before, each));
    }
    const nowMs = this.#options.readClock();
    this.#options.onFound({
      service,
      evidence: evidence.map((each) => flattenEvidence(each, nowMs)),
    });
  }

  #add(
    service: string,
    evidence: readonly CrashEvidence[],
    { source, answer }: {
      readonly source: EvidenceSource;
      readonly answer?: ObservedAnswer | undefined;
    },
  ): void {
    const nowMs = this.#options.readClock();
    const known = this.#services.get(service);
    const before = known?.record ?? EMPTY_CRASH_RECORD;
    const verdicts = known?.verdicts ?? new CrashVerdicts(before);
    const after = applyEvidence(before, evidence, nowMs);
    this.#replace(service, after);
    const current = this.#services.get(service)!.verdicts;
    this.#eliminate(service, before, { evidence, source });
    for (const { fingerprint } of evidence) {
      const changed = after.get(fingerprint);
      if (changed !== undefined && changed !== before.get(fingerprint)) {
        this.#reportVerdict(changed, verdicts, current, {
          service,
          source,
          former: before.get(fingerprint),
          answer,
        });
      }
    }
  }

  /** Adds what follows from new pardons; only their finder reports it. */
  #eliminate(
    service: string,
    before: CrashRecord,
    { evidence, source }: {
      readonly evidence: readonly CrashEvidence[];
      readonly source: EvidenceSource;
    },
  ): void {
    const instances = evidence.flatMap(({ fingerprint, pardoned }) => {
      const known = before.get(fingerprint)?.pardoned ?? [];
      return pardoned.filter((instance) => !known.includes(instance));
    });
    const { record } = this.#services.get(service)!;
    const found = [...new Set(instances)]
      .flatMap((instance) => listEliminated(record, instance));
    if (source === "own") {
      this.#addOwn(service, found);
    } else if (found.length > 0) {
      this.#add(service, found, { source });
    }
  }

  #reportVerdict(
    evidence: CrashEvidence,
    former: CrashVerdicts,
    current: CrashVerdicts,
    context: Pick<VerdictChange, "service" | "source" | "former" | "answer">,
  ): void {
    const nowMs = this.#options.readClock();
    const before = former.evaluate(evidence.fingerprint, nowMs).type;
    const after = current.evaluate(evidence.fingerprint, nowMs).type;
    if (before !== after) {
      const change = { ...context, evidence, before, after };
      this.#options.onVerdictChanged(change);
    }
  }

  #replace(service: string, record: CrashRecord): void {
    const known = this.#services.get(service);
    if (known === undefined) {
      const unreported = new Map<Fingerprint, CrashEvidence>();
      const verdicts = new CrashVerdicts(record);
      const prefixes = listPrefixes(record);
      this.#services.set(service, { record, verdicts, prefixes, unreported });
    } else if (known.record !== record) {
      known.record = record;
      known.verdicts = new CrashVerdicts(record);
      known.prefixes = listPrefixes(record);
    }
  }

  #confirmReported(service: string, confirmed: readonly CrashEvidence[]): void {
    const { unreported } = this.#services.get(service)!;
    const record = new Map(confirmed.map((each) => [each.fingerprint, each]));
    for (const [fingerprint, evidence] of unreported) {
      if (isKnown(record, evidence)) {
        unreported.delete(fingerprint);
      }
    }
  }
}

function listEvidence(
  { fingerprints, end }: RecordedEnd,
  nowMs: number,
): readonly CrashEvidence[] {
  return fingerprints.map((fingerprint) =>
    createEndEvidence(fingerprint, end, nowMs)
  );
}

function findLongestEnd(
  evidence: readonly CrashEvidence[],
): number | undefined {
  const timesMs = evidence.flatMap(({ ends }) =>
    ends.map(({ afterMs }) => afterMs)
  );
  const known = timesMs.filter((afterMs) => afterMs !== undefined);
  return known.length < timesMs.length ? undefined : Math.max(...known);
}

function listPrefixes(record: CrashRecord): ReadonlySet<string> {
  return new Set([...record.keys()].map(getPrefix));
}

function selectWorse(a: CrashVerdict, b: CrashVerdict): CrashVerdict {
  return VERDICT_RANKS[b.type] > VERDICT_RANKS[a.type] ? b : a;
}

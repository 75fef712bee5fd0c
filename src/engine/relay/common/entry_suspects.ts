/** Requests at their entry that are suspected of ending backend servers. */
import { flattenEvidence } from "../../quarantine/common/crash_messages.ts";
import type { WireEvidence } from "../../quarantine/common/crash_messages.ts";
import type { EvidencedEnd } from "../../quarantine/common/crash_evidence.ts";
import { CLEAR_JUDGEMENT } from "../../quarantine/common/crash_knowledge.ts";
import type {
  CrashKnowledge,
  Judgement,
} from "../../quarantine/common/crash_knowledge.ts";
import { findHost } from "../../quarantine/common/request_identity.ts";
import type { RequestIdentity } from "../../quarantine/common/request_identity.ts";
import { chooseOwner } from "../../quarantine/common/suspect_owner.ts";
import type { EntryCall } from "./entry_call.ts";
import { formatEndedInstance } from "./local_backend.ts";
import type { Member } from "./member.ts";

/** What the suspects at an entry depend on. */
export interface EntrySuspectsOptions {
  readonly knowledge: CrashKnowledge;
  /** Returns the service on whose VM the calls of this node begin. */
  readonly getCallerService: () => string;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
}

/** A call whose link was lost. */
interface LostCall {
  readonly service: string;
  readonly ingress: string;
  /** Process instance of the backend server that may have run it. */
  readonly instance: string;
  readonly request: RequestIdentity;
  readonly atMs: number;
}

/** More than any backend server runs: nothing follows by elimination. */
const UNKNOWN_OTHERS = 1_000_000;
const MAX_LOST = 64;
/** Lost calls with larger bodies are not kept. */
const MAX_LOST_BODY_BYTES = 65_536;
/** Time in which the node of a lost link starts again and announces itself. */
const LOST_TTL_MS = 10_000;

/** Judges the calls of one entry, and records what becomes of them. */
export class EntrySuspects {
  readonly #options: EntrySuspectsOptions;
  #lost: LostCall[] = [];

  constructor(options: EntrySuspectsOptions) {
    this.#options = options;
  }

  /** Returns the verdict on the request of a call. */
  evaluate(call: EntryCall): Judgement {
    const { knowledge } = this.#options;
    return knowledge.hasRecord(call.service)
      ? knowledge.evaluate(call.service, this.#identify(call))
      : CLEAR_JUDGEMENT;
  }

  /** Records that the backend server ended that ran an attempt of a call. */
  recordEnd(call: EntryCall, end: EvidencedEnd): void {
    const { knowledge } = this.#options;
    knowledge.recordReportedEnd(call.service, this.#identify(call), end);
  }

  /** Records the complete answer with this status to a call. */
  recordAnswer(call: EntryCall, status: number): void {
    const { knowledge } = this.#options;
    if (knowledge.hasRecord(call.service)) {
      knowledge.recordAnswer(call.service, this.#identify(call), {
        status,
        answeredBy: call.attempt!.address,
        isRequestSent: call.request.body.length === 0 ? true : undefined,
      });
    }
  }

  /** Converts the evidence for the frame of a call. */
  flatten({ evidence }: Judgement): readonly WireEvidence[] {
    const nowMs = this.#options.readClock();
    return evidence.map((each) => flattenEvidence(each, nowMs));
  }

  /** Keeps a call whose link was lost: its backend server may have ended. */
  recordLinkLoss(call: EntryCall): void {
    const { announcement } = call.attempt!.member;
    const { backendInstance, ingress, isDraining } = announcement;
    const isKept = backendInstance !== undefined && !isDraining &&
      call.request.body.length <= MAX_LOST_BODY_BYTES;
    if (!isKept) {
      return;
    }
    this.#lost.push({
      service: call.service,
      ingress,
      instance: backendInstance,
      request: this.#identify(call),
      atMs: this.#options.readClock(),
    });
    this.#lost = this.#lost.slice(-MAX_LOST);
  }

  /**
   * Records the ends of backend servers whose nodes were lost with them, once
   * the nodes announce other process instances.
   */
  examineLost(
    getInstance: (service: string, ingress: string) => string | undefined,
  ): void {
    const { knowledge, readClock } = this.#options;
    const earliestMs = readClock() - LOST_TTL_MS;
    this.#lost = this.#lost.filter((lost) => {
      const { service, ingress, instance, request, atMs } = lost;
      const current = getInstance(service, ingress) ?? instance;
      if (current !== instance) {
        const ended = formatEndedInstance(instance, ingress);
        const end = {
          instance: ended,
          wasAlone: false,
          others: UNKNOWN_OTHERS,
        };
        knowledge.recordReportedEnd(service, request, end);
      }
      return current === instance && atMs >= earliestMs;
    });
  }

  #identify({ request }: EntryCall): RequestIdentity {
    const { method, target, headers, body } = request;
    const callerService = this.#options.getCallerService();
    return { method, target, host: findHost(headers), body, callerService };
  }
}

/**
 * Chooses the member that runs a suspect: the same one at each entry, as the
 * copies of a request must not run at several backend servers.
 */
export function chooseSuspectMember(
  members: readonly Member[],
  { fingerprint }: Judgement,
): Member | undefined {
  const owner = chooseOwner(
    members.map(({ announcement }) => announcement),
    fingerprint,
  );
  return members.find(({ announcement }) => announcement === owner);
}

/**
 * Tells at the gate whether the backend server ended under its calls, and lets
 * the requests that may have ended one run one after the other.
 */
import { probeBackend } from "../../../base/node/backend_probe.ts";
import type { AnswerProof } from "../../quarantine/common/answer_proof.ts";
import type { EvidencedEnd } from "../../quarantine/common/crash_evidence.ts";
import { CLEAR_JUDGEMENT } from "../../quarantine/common/crash_knowledge.ts";
import type {
  CrashKnowledge,
  Judgement,
} from "../../quarantine/common/crash_knowledge.ts";
import { findHost } from "../../quarantine/common/request_identity.ts";
import type { RequestIdentity } from "../../quarantine/common/request_identity.ts";
import { SuspectLane } from "../../quarantine/common/suspect_lane.ts";
import { createBackendEndedLine } from "../common/crash_lines.ts";
import type { GateCallState } from "../common/gate_call_index.ts";
import {
  formatEndedInstance,
  formatInstance,
  isSameProcessInstance,
} from "../common/local_backend.ts";
import type { LocalBackend } from "../common/local_backend.ts";
import type { RelayLog } from "../common/relay_log.ts";
import type {
  SuspectOutcome,
  SuspectRefusal,
} from "../common/suspect_refusal.ts";

/** What the parts of a gate that concern crashes depend on. */
export interface GateCrashesOptions {
  readonly knowledge: CrashKnowledge;
  /** Address at which other nodes reach this one. */
  readonly ingress: string;
  readonly log: RelayLog;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
  /** Returns the backend server that was last known. */
  readonly getBackend: () => LocalBackend | undefined;
  /** Lists the calls that were handed over to the backend server. */
  readonly listRunning: () => readonly GateCallState[];
  /** Returns the service on whose VM a call began. */
  readonly getCallerService: (linkId: string) => string;
  /** Fails a call that may have run. */
  readonly failCall: (call: GateCallState, failure: EndedCall) => void;
  /** Called before the calls of a backend server that ended fail. */
  readonly onBackendLost: () => void;
  /** Counts an end of the backend server, by what showed it. */
  readonly countEnd: (service: string, evidence: EndSign) => void;
  /** Counts a call of a suspect, by what became of it. */
  readonly countSuspect: (service: string, outcome: SuspectOutcome) => void;
  /** Counts an answer to a suspect, by what it proves. */
  readonly countProof: (service: string, proof: AnswerProof) => void;
}

/** What showed that the backend server ended. */
export type EndSign =
  /** Its connections broke, and it refuses new ones. */
  | "connection_refused"
  /** Another process instance announced itself at its address. */
  | "replaced";

/** Why a call failed, and the end of its backend server, if it did end. */
export interface EndedCall {
  readonly reason: string;
  readonly ended?: EvidencedEnd | undefined;
}

/** What a call that is to be handed over may do. */
export type Turn =
  | { readonly type: "Run" }
  /** Another suspect runs. */
  | { readonly type: "Wait" }
  | {
    readonly type: "Refuse";
    readonly reason: SuspectRefusal;
    readonly retryAfterMs: number;
  };

/** A call whose connection broke while its backend server seemed to live on. */
interface BrokenCall {
  readonly instance: string;
  readonly request: RequestIdentity;
  readonly atMs: number;
  /** Time from its hand-over until it broke. */
  readonly ranMs: number;
}

/** Time after which a suspect that found too many others may come back. */
const BUSY_RETRY_MS = 1_000;
/** Part of the slots that waiting suspects may hold. */
const MAX_WAITING_SHARE = 1 / 3;
/** Time for which a broken call may be due to an end that shows later. */
const BROKEN_TTL_MS = 10_000;
const MAX_BROKEN = 64;
/** Time in which all connections of a process that ends are seen to break. */
const SIMULTANEOUS_MS = 5;
/**
 * Time from the first broken connection of a process that ends to the last, as a
 * busy gate sees them. A call that broke that long before an end may have
 * caused it.
 */
const SAME_END_MS = 500;
/** Broken calls with larger bodies are not kept. */
const MAX_BROKEN_BODY_BYTES = 65_536;

/** Crashes of one backend server, and the suspects among its calls. */
export class GateCrashes {
  readonly #options: GateCrashesOptions;
  readonly #lane = new SuspectLane();
  /** Failed calls whose cause is being probed. */
  #held: { readonly call: GateCallState; readonly reason: string }[] = [];
  /** When the first of them failed. */
  #heldSinceMs = 0;
  #broken: BrokenCall[] = [];

  constructor(options: GateCrashesOptions) {
    this.#options = options;
  }

  /** Decides whether a call may be handed over now. */
  requestTurn(call: GateCallState, service: string): Turn {
    const { verdict } = this.#evaluate(call, service);
    switch (verdict.type) {
      case "Clear":
        this.#lane.leave(call.id);
        return { type: "Run" };
      case "Quarantined":
        return this.#refuse(
          service,
          "quarantined",
          verdict.untilMs - this.#options.readClock(),
        );
      case "Suspect":
        return this.#requestSuspectTurn(call, service);
    }
  }

  /** Removes a call that has ended. */
  leave(call: GateCallState): void {
    this.#lane.leave(call.id);
  }

  /** Takes the suspect whose turn it is, by call id. */
  takeNext(): number | undefined {
    return this.#lane.takeNext();
  }

  /** Records the complete answer with this status to a call. */
  recordAnswer(call: GateCallState, status: number): void {
    const { knowledge, readClock, getBackend, countProof } = this.#options;
    const { opened: { service }, startedAtMs, deadlineMs } = call;
    if (!knowledge.hasRecord(service)) {
      return;
    }
    const backend = getBackend();
    const proof = knowledge.recordAnswer(service, this.#identify(call), {
      status,
      answeredBy: backend === undefined ? "" : this.#format(backend),
      isRequestSent: call.exchange?.hasSentAll ?? true,
      runMs: readClock() - startedAtMs,
      timeLeftMs: deadlineMs - startedAtMs,
    });
    if (proof !== undefined) {
      countProof(service, proof);
    }
  }

  /** Receives what the caller's node knows of a call. */
  receiveEvidence({ opened: { service, evidence } }: GateCallState): void {
    if (evidence !== undefined) {
      this.#options.knowledge.receive({ service, evidence }, "node");
    }
  }

  /** Holds a failed call until it is known whether the backend server ended. */
  holdFailure(call: GateCallState, reason: string): void {
    this.#held.push({ call, reason });
    if (this.#held.length === 1) {
      this.#heldSinceMs = this.#options.readClock();
      const backend = this.#options.getBackend();
      setTimeout(() => this.#examineHeld(backend), SIMULTANEOUS_MS);
    }
  }

  /**
   * Examines the held calls. Connections that break while others go on don't
   * show an end; if all have broken, a new connection does.
   */
  #examineHeld(backend: LocalBackend | undefined): void {
    const held = new Set(this.#held.map(({ call }) => call));
    const isAnyLeft = this.#options.listRunning().some((call) =>
      !held.has(call) && call.startedAtMs < this.#heldSinceMs &&
      hasStarted(call)
    );
    if (backend === undefined || held.size === 0 || isAnyLeft) {
      if (backend !== undefined) {
        this.#keepBroken(backend);
      }
      this.#releaseHeld();
      return;
    }
    const { ip, port } = backend.address;
    probeBackend({ host: ip, port }).then((isAlive) => {
      const current = this.#options.getBackend();
      if (isAlive) {
        this.#keepBroken(backend);
      } else if (
        current !== undefined && isSameProcessInstance(current, backend)
      ) {
        // Those not sent yet fail by themselves, as refused.
        const calls = this.#options.listRunning().filter(hasStarted);
        const broken = this.#takeBroken(current, SAME_END_MS);
        this.#recordEnd(current, "connection_refused", calls, broken);
      }
      this.#releaseHeld();
    });
  }

  /** Records that another process instance replaced the one of the calls. */
  recordReplacement(
    former: LocalBackend,
    calls: readonly GateCallState[],
  ): void {
    const broken = this.#takeBroken(former, BROKEN_TTL_MS);
    this.#recordEnd(former, "replaced", calls, broken);
  }

  #evaluate(call: GateCallState, service: string): Judgement {
    const { knowledge } = this.#options;
    return knowledge.hasRecord(service)
      ? knowledge.evaluate(service, this.#identify(call))
      : CLEAR_JUDGEMENT;
  }

  #requestSuspectTurn(call: GateCallState, service: string): Turn {
    const { getBackend, countSuspect } = this.#options;
    if (this.#lane.tryEnter(call.id)) {
      countSuspect(service, "run");
      return { type: "Run" };
    }
    const slots = getBackend()?.slots ?? 0;
    const maxWaiting = Math.max(1, Math.floor(slots * MAX_WAITING_SHARE));
    if (this.#lane.waitingCount >= maxWaiting) {
      return this.#refuse(service, "suspects_waiting", BUSY_RETRY_MS);
    }
    this.#lane.wait(call.id);
    countSuspect(service, "waited");
    return { type: "Wait" };
  }

  #refuse(
    service: string,
    reason: SuspectRefusal,
    retryAfterMs: number,
  ): Turn {
    this.#options.countSuspect(service, reason);
    return { type: "Refuse", reason, retryAfterMs };
  }

  /**
   * Records the end of a process instance as evidence against all calls that it
   * may have run, and fails them. One that was leaving ended on its own.
   */
  #recordEnd(
    backend: LocalBackend,
    sign: EndSign,
    calls: readonly GateCallState[],
    broken: readonly BrokenCall[] = [],
  ): void {
    const { knowledge, log, onBackendLost, failCall, countEnd } = this.#options;
    const { service } = backend;
    const instance = this.#format(backend);
    const sent = calls.filter(hasStarted);
    // A call that broke within the same end has left the lane already.
    const sameEndMs = this.#options.readClock() - SAME_END_MS;
    const isLaneShared = broken.some(({ atMs }) => atMs >= sameEndMs) ||
      this.#countSuspects(sent, service) > 1;
    const runs = [
      ...sent.map((call) => ({
        request: this.#identify(call),
        isOnlySuspect: this.#lane.running === call.id && !isLaneShared,
        ranMs: sign === "connection_refused"
          ? this.#measureRun(call)
          : undefined,
      })),
      ...broken.map(({ request, ranMs }) => ({
        request,
        isOnlySuspect: false,
        ranMs,
      })),
    ];
    const isBlamed = !backend.isDraining && runs.length > 0;
    const recorded = isBlamed
      ? knowledge.recordEnd(service, instance, runs)
      : [];
    if (calls.length > 0 || isBlamed) {
      countEnd(service, sign);
      log.write(
        createBackendEndedLine({ service, instance, sign, isBlamed, recorded }),
      );
    }
    if (sign === "connection_refused") {
      onBackendLost();
    }
    this.#held = this.#held.filter(({ call }) => !calls.includes(call));
    const reason = sign === "replaced" ? "backend_restarted" : "backend_ended";
    const ends = new Map(
      sent.map((call, index) => [call, recorded[index]?.end]),
    );
    calls.forEach((call) => failCall(call, { reason, ended: ends.get(call) }));
  }

  /** Counts requests; one may have become suspect while it ran. */
  #countSuspects(calls: readonly GateCallState[], service: string): number {
    const suspects = calls.map((call) => this.#evaluate(call, service))
      .filter(({ verdict }) => verdict.type !== "Clear");
    return new Set(suspects.map(({ fingerprint }) => fingerprint)).size;
  }

  #releaseHeld(): void {
    const held = this.#held;
    this.#held = [];
    held.forEach(({ call, reason }) =>
      this.#options.failCall(call, { reason })
    );
  }

  /** Keeps held calls, as their backend server may yet prove to have ended. */
  #keepBroken(backend: LocalBackend): void {
    const atMs = this.#options.readClock();
    const instance = this.#format(backend);
    const kept = this.#held
      .filter(({ call }) => call.opened.bodyBytes <= MAX_BROKEN_BODY_BYTES)
      .map(({ call }) => ({
        instance,
        atMs,
        request: this.#identify(call),
        ranMs: this.#measureRun(call),
      }));
    this.#broken = [...this.#broken, ...kept]
      .filter((each) => atMs - each.atMs <= BROKEN_TTL_MS)
      .slice(-MAX_BROKEN);
  }

  /** Time from the hand-over of a call until the first held call failed. */
  #measureRun({ startedAtMs }: GateCallState): number {
    return Math.max(0, Math.round(this.#heldSinceMs - startedAtMs));
  }

  /** Takes the broken calls that an end of their instance may explain. */
  #takeBroken(backend: LocalBackend, maxAgeMs: number): readonly BrokenCall[] {
    const instance = this.#format(backend);
    const earliestMs = this.#options.readClock() - maxAgeMs;
    const broken = this.#broken.filter((each) =>
      each.instance === instance && each.atMs >= earliestMs
    );
    this.#broken = [];
    return broken;
  }

  #format(backend: LocalBackend): string {
    return formatEndedInstance(formatInstance(backend), this.#options.ingress);
  }

  #identify({ opened, body, linkId }: GateCallState): RequestIdentity {
    const { method, target, headers } = opened;
    return {
      method,
      target,
      host: findHost(headers),
      body: body.join(),
      callerService: this.#options.getCallerService(linkId),
    };
  }
}

/** Whether bytes of a call may have reached the backend server. */
function hasStarted({ exchange }: GateCallState): boolean {
  return exchange?.hasStartedSending ?? false;
}

/** Sees each call of this node's callers through to its final answer. */
import {
  BodyCollector,
  listFurtherParts,
} from "../../mesh/common/body_parts.ts";
import type {
  AnswerOpened,
  CallerReport,
  CallFailed,
  FailureKind,
  LoadReported,
  MeshFrame,
} from "../../mesh/common/frames.ts";
import {
  createBudgetedCall,
  createCallOpened,
  createEntryCall,
  createFailure,
  MIN_RETRY_AFTER_MS,
} from "../common/entry_call.ts";
import type { EntryCall } from "../common/entry_call.ts";
import {
  createMovedLine,
  createUnansweredLine,
  createWithdrawnLine,
} from "../common/entry_lines.ts";
import { EntryBudget } from "../common/entry_budget.ts";
import type {
  BudgetCounts,
  RetryBudgetLimits,
} from "../common/entry_budget.ts";
import { decideNextStep } from "../common/entry_decision.ts";
import type { NextStep } from "../common/entry_decision.ts";
import type {
  EntryFailure,
  EntryRequest,
  EntryResult,
  RetryCause,
} from "../common/entry_types.ts";
import {
  CALL_STALL_LIMIT_MS,
  isMemberSilent,
  LINK_SILENCE_LIMIT_MS,
  measureCallSilence,
} from "../common/link_silence.ts";
import { recordResult } from "../common/member.ts";
import type { MemberTable } from "../common/member_table.ts";
import {
  AdmittedShare,
  drawForRequest,
  isRootRefused,
} from "../common/root_admission.ts";
import type { CallLoop } from "../../../base/common/call_loop.ts";
import type { RelayLog } from "../common/relay_log.ts";
import { computeMemberWaitEndMs, MAX_WAITING } from "../common/start_wait.ts";

/** How frames get to a node, and what is known of the way there. */
export interface MeshPath {
  readonly send: (address: string, frame: MeshFrame) => void;
  /** Tells a node that a call's caller has left, or takes the call back. */
  readonly withdraw: (address: string, call: number) => void;
  readonly isOpen: (address: string) => boolean;
  readonly getHeardAtMs: (address: string) => number | undefined;
  /** Opens a link ahead of any call, so that the other end is heard. */
  readonly probe: (address: string) => void;
  readonly drop: (address: string, reason: string) => void;
}

/** What the entry calls are built from. */
export interface EntryCallsOptions {
  readonly dataCentre: string;
  readonly members: MemberTable;
  readonly budget: RetryBudgetLimits;
  readonly path: MeshPath;
  readonly readClock: () => number;
  readonly draw: () => number;
  /** The least urgent rank of the routes in force. */
  readonly getLastRank: () => number;
  readonly log: RelayLog;
  readonly loop: CallLoop;
  /** The gate at an address says where the calls there came from. */
  readonly hearCallers: (address: string, report: CallerReport) => void;
  /** A call is sent to a service: for the first time, or once more. */
  readonly noteAttempt: (service: string, cause: "first" | RetryCause) => void;
  /** A call of a route has its final answer. */
  readonly noteEnded: (route: string, elapsedMs: number) => void;
}

/** How an attempt came to nothing. */
interface FailedBy {
  readonly kind: FailureKind;
  readonly cause: RetryCause;
  /** For logs. */
  readonly reason: string;
}

const STALLED: FailedBy = {
  kind: "unknown",
  cause: "stalled",
  reason: "stalled",
};

/** What a node's own word on a failed call is counted as. */
const RETRY_CAUSES: Readonly<Record<FailureKind, RetryCause>> = {
  refused: "refused",
  rejected: "rejected",
  unknown: "answer_lost",
  expired: "answer_lost",
};

/** When a root that was refused for pressure may come back. */
const ROOT_RETRY_MS = 700;

/** Calls by their number; numbers are never used twice in a process. */
export class EntryCalls {
  readonly #options: EntryCallsOptions;
  readonly #budget: EntryBudget;
  readonly #admitted = new AdmittedShare();
  readonly #calls = new Map<number, EntryCall>();
  /** Calls of services that no member is known of yet. */
  readonly #waiting = new Set<EntryCall>();
  #nextId = 1;

  constructor(options: EntryCallsOptions) {
    this.#options = options;
    const { budget, readClock, draw } = options;
    this.#budget = new EntryBudget(budget, { startedAtMs: readClock(), draw });
  }

  /** Counts what was sent to each service in the window that ends now. */
  countByService(): ReadonlyMap<string, BudgetCounts> {
    const nowMs = this.#options.readClock();
    return new Map(
      this.#budget.listServices()
        .map((name) => [name, this.#budget.countAttempts(name, nowMs)]),
    );
  }

  /** Calls without a final answer. */
  get openCount(): number {
    return this.#calls.size;
  }

  /** Starts a call; the function returned withdraws it. */
  start(
    request: EntryRequest,
    service: string,
    onResult: (result: EntryResult) => void,
  ): () => void {
    const call = createEntryCall(this.#nextId++, request, service, onResult);
    this.#calls.set(call.id, call);
    if (!request.isNested && this.#refuseRoot(call)) {
      return () => {};
    }
    this.#budget.recordFirstAttempt(
      createBudgetedCall(call),
      request.arrivedAtMs,
    );
    this.#options.noteAttempt(service, "first");
    this.#send(call);
    return () => this.#withdraw(call);
  }

  /** Takes a frame of the node at `address`. */
  receive(address: string, frame: MeshFrame): void {
    switch (frame.type) {
      case "AnswerOpened":
        this.#openAnswer(address, frame);
        return;
      case "BodyPart": {
        const call = this.#find(address, frame.call);
        if (call?.answer !== undefined) {
          call.answer.body.add(frame.bytes);
          this.#finishAnswer(call);
        }
        return;
      }
      case "CallFailed":
        this.#takeFailure(address, frame);
        return;
      case "LoadReported":
        this.#takeLoad(address, frame);
        return;
      case "CallOpened":
      case "CallCancelled":
      case "CallerIntroduced":
        return;
    }
  }

  /** A link is gone; what was sent on it may run, if it was ever open. */
  loseLink(address: string, reason: string, wasOpen: boolean): void {
    this.#options.members.suspect(address, this.#options.readClock());
    const failed: FailedBy = wasOpen
      ? { kind: "unknown", cause: "link_lost", reason }
      : { kind: "refused", cause: "refused", reason };
    [...this.#calls.values()]
      .filter((call) => call.attempt?.address === address)
      .forEach((call) => this.#fail(call, failed));
  }

  /** Ends calls whose time is up, and gives silent links up. */
  tick(): void {
    const { members, path, readClock } = this.#options;
    const { getHeardAtMs } = path;
    const nowMs = readClock();
    const silent = new Set<string>();
    for (const call of [...this.#calls.values()]) {
      const silenceMs = measureCallSilence(call.attempt, getHeardAtMs, nowMs);
      if (nowMs >= call.request.deadlineMs) {
        this.#cancelAttempt(call);
        this.#finish(call, { type: "Expired" }, "time limit", { silenceMs });
      } else if (silenceMs > LINK_SILENCE_LIMIT_MS) {
        silent.add(call.attempt!.address);
      } else if (
        silenceMs > CALL_STALL_LIMIT_MS && this.#canRepeat(call, nowMs)
      ) {
        this.#cancelAttempt(call);
        this.#fail(call, STALLED);
      }
    }
    this.#resumeWaiting();
    silent.forEach((address) => path.drop(address, "silent"));
    members.takeDueProbes(nowMs).forEach((address) => path.probe(address));
  }

  /** Roots are refused where a service on their way is short of room. */
  #refuseRoot(call: EntryCall): boolean {
    const { members, getLastRank } = this.#options;
    const { route, rank, target, body, arrivedAtMs } = call.request;
    const { pressure } = members
      .computePathPressure(call.service, route.name, arrivedAtMs);
    if (pressure === 0) {
      this.#admitted.record(true, arrivedAtMs);
      return false;
    }
    const lastRank = getLastRank();
    const admittedShare = this.#admitted.value;
    const asked = { route: route.name, target, body };
    const draw = drawForRequest(asked, arrivedAtMs);
    const inputs = { lastRank, pressure, admittedShare };
    const isRefused = isRootRefused({ rank, draw, ...inputs });
    this.#admitted.record(!isRefused, arrivedAtMs);
    if (isRefused) {
      const failure = { type: "Refused", retryAfterMs: ROOT_RETRY_MS } as const;
      this.#finish(call, failure, "pressure", inputs);
    }
    return isRefused;
  }

  /**
   * An error of a service that calls no other is its backend server's own:
   * another one may do better. Above, the same call below would fail again.
   */
  #isWorthRepeating(call: EntryCall, nowMs: number): boolean {
    return this.#options.members.isLeaf(call.service) &&
      this.#canRepeat(call, nowMs);
  }

  /** Whether a call would go elsewhere if its attempt were given up. */
  #canRepeat(call: EntryCall, nowMs: number): boolean {
    const step = this.#decide(call, "unknown", call.handoverCount + 1, nowMs);
    return step.type === "TryElsewhere";
  }

  /**
   * A process that is behind reads the close of a connection after the request
   * on it, and would send calls for callers that have left.
   */
  #send(call: EntryCall): void {
    this.#options.loop.runOnceRead(() => {
      if (this.#calls.has(call.id)) {
        this.#sendNow(call);
      }
    });
  }

  #sendNow(call: EntryCall): void {
    const { members, dataCentre, readClock, draw, path } = this.#options;
    const nowMs = readClock();
    const member = members.choose(call.service, {
      dataCentre,
      tried: call.tried,
      nowMs,
      draw: draw(),
      canProbe: call.request.route.isIdempotent && !call.request.isNested,
      isSilent: (found) => isMemberSilent(found, path.getHeardAtMs, nowMs),
    });
    if (member === undefined) {
      this.#waitForMember(call, nowMs);
      return;
    }
    const address = member.announcement.ingress;
    member.busySinceMs = member.outstanding === 0 ? nowMs : member.busySinceMs;
    member.outstanding += 1;
    member.sentSinceLoad += 1;
    call.tried.add(address);
    call.attempt = { member, address, call: call.id, sentAtMs: nowMs };
    const { body } = call.request;
    path.send(address, createCallOpened(call));
    for (const bytes of listFurtherParts(body)) {
      path.send(address, { type: "BodyPart", call: call.id, bytes });
    }
  }

  #waitForMember(call: EntryCall, nowMs: number): void {
    const { arrivedAtMs, deadlineMs } = call.request;
    const patienceMs = deadlineMs - arrivedAtMs;
    const mayCome = call.tried.size === 0 &&
      !this.#options.members.isComplete(call.service);
    if (
      mayCome && this.#waiting.size < MAX_WAITING &&
      nowMs <
        computeMemberWaitEndMs({ arrivedAtMs, callerTimeoutMs: patienceMs })
    ) {
      this.#waiting.add(call);
    } else {
      this.#finish(call, createFailure(call), "no member");
    }
  }

  #resumeWaiting(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.filter(({ id }) => this.#calls.has(id))
      .forEach((call) => this.#send(call));
  }

  #openAnswer(address: string, opened: AnswerOpened): void {
    const { members, readClock } = this.#options;
    const nowMs = readClock();
    members.recordLoad(address, opened.load, nowMs);
    const call = this.#find(address, opened.call);
    if (call === undefined) {
      return;
    }
    const isFailure = opened.status >= 500;
    if (isFailure && this.#isWorthRepeating(call, nowMs)) {
      const reason = `status ${opened.status}`;
      this.#fail(call, { kind: "unknown", cause: "status", reason });
      return;
    }
    // An error of a service that makes calls may come from below.
    const isOwnFailure = isFailure && members.isLeaf(call.service);
    this.#noteResult(call, isOwnFailure, nowMs);
    const body = new BodyCollector(opened.bodyBytes, opened.body);
    call.answer = { opened, body };
    this.#finishAnswer(call);
  }

  #finishAnswer(call: EntryCall): void {
    const { opened, body } = call.answer!;
    if (!body.isWhole) {
      return;
    }
    this.#end(call);
    const { status, headers } = opened;
    call.onResult({ type: "Answered", status, headers, body: body.join() });
  }

  #takeFailure(address: string, frame: CallFailed): void {
    const { members, readClock } = this.#options;
    members.recordLoad(address, frame.load, readClock());
    const call = this.#find(address, frame.call);
    if (call === undefined) {
      return;
    }
    if (frame.reason === "other_service") {
      members.removeAddress(call.service, address);
    }
    call.retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, frame.retryAfterMs);
    const { kind, reason } = frame;
    this.#fail(call, { kind, cause: RETRY_CAUSES[kind], reason });
  }

  #takeLoad(address: string, frame: LoadReported): void {
    const { members, readClock, hearCallers } = this.#options;
    const nowMs = readClock();
    members.recordLoad(address, frame.load, nowMs);
    if (frame.below !== undefined) {
      members.recordDownstreamPressure(address, frame.below, nowMs);
    }
    if (frame.callers.length > 0) {
      hearCallers(address, frame.callers);
    }
  }

  #fail(call: EntryCall, { kind, cause, reason }: FailedBy): void {
    const nowMs = this.#options.readClock();
    const { member } = call.attempt!;
    if (kind === "unknown" || kind === "rejected") {
      this.#noteResult(call, true, nowMs);
      call.handoverCount += 1;
      call.mayHaveRun ||= kind === "unknown";
    }
    this.#releaseAttempt(call);
    const step = this.#decide(call, kind, call.handoverCount, nowMs);
    switch (step.type) {
      case "TryElsewhere":
        this.#options.noteAttempt(call.service, cause);
        this.#options.log.write(createMovedLine(call, {
          from: member.announcement.ingress,
          kind,
          cause,
          reason,
          budget: this.#budget.countAttempts(call.service, nowMs),
          nowMs,
        }));
        if (step.isBudgeted) {
          this.#budget.recordRetry(createBudgetedCall(call), nowMs);
        } else {
          call.rerouteCount += 1;
        }
        this.#send(call);
        return;
      case "Refuse":
        this.#finish(call, createFailure(call), reason);
        return;
      case "FailUnknown":
        this.#finish(call, { type: "Unknown" }, reason);
        return;
      case "FailExpired":
        this.#finish(call, { type: "Expired" }, reason);
        return;
    }
  }

  /** Notes an answer, or its absence, at the member that the call is at. */
  #noteResult(call: EntryCall, isFailure: boolean, nowMs: number): void {
    const { member } = call.attempt!;
    if (recordResult(member, isFailure, nowMs)) {
      this.#options.log.write({
        event: "MemberLeftOut",
        isFailure: true,
        requestId: call.request.requestId,
        service: call.service,
        member: member.announcement.ingress,
        failures: member.consecutiveFailures,
        failureShare: member.failureShare,
        forMs: member.ejectedUntilMs - nowMs,
      });
    }
  }

  #decide(
    call: EntryCall,
    kind: CallFailed["kind"],
    handedOver: number,
    nowMs: number,
  ): NextStep {
    const { members } = this.#options;
    const { route, deadlineMs } = call.request;
    const others = members.list(call.service).filter(({ announcement }) =>
      !announcement.isDraining && !call.tried.has(announcement.ingress)
    );
    const context = {
      nodes: members.countNodes(),
      hasDownstreamCalls: members.hasDownstreamCalls(call.service, route.name),
    };
    return decideNextStep({
      kind,
      isIdempotent: route.isIdempotent,
      handoverCount: handedOver,
      mayHaveRun: call.mayHaveRun,
      maxAttempts: route.maxAttempts,
      rerouteCount: call.rerouteCount,
      timeLeftMs: deadlineMs - nowMs,
      canRetry: this.#budget.canRetry(createBudgetedCall(call), context, nowMs),
      hasOtherMember: others.length > 0,
    });
  }

  #withdraw(call: EntryCall): void {
    if (this.#calls.has(call.id)) {
      this.#logWithdrawn(call);
      this.#cancelAttempt(call);
      this.#end(call);
    }
  }

  #logWithdrawn(call: EntryCall): void {
    const { log, path, readClock, loop } = this.#options;
    const isLinkOpen = call.attempt !== undefined &&
      path.isOpen(call.attempt.address);
    const inputs = { nowMs: readClock(), isLinkOpen, lagMs: loop.lagMs };
    log.write(createWithdrawnLine(call, inputs));
  }

  #cancelAttempt(call: EntryCall): void {
    const { attempt } = call;
    if (attempt !== undefined) {
      this.#options.path.withdraw(attempt.address, call.id);
    }
  }

  /** `inputs` are what decided it beyond the call's own state. */
  #finish(
    call: EntryCall,
    failure: EntryFailure,
    reason: string,
    inputs: Readonly<Record<string, number>> = {},
  ): void {
    const { readClock, log } = this.#options;
    this.#end(call);
    const nowMs = readClock();
    const ended = { failure, reason, nowMs, inputs };
    log.write(createUnansweredLine(call, ended));
    call.onResult({ type: "Failed", failure });
  }

  #end(call: EntryCall): void {
    this.#releaseAttempt(call);
    this.#calls.delete(call.id);
    const { noteEnded, readClock } = this.#options;
    const { route, arrivedAtMs } = call.request;
    noteEnded(route.name, readClock() - arrivedAtMs);
  }

  #releaseAttempt(call: EntryCall): void {
    if (call.attempt !== undefined) {
      const { member } = call.attempt;
      member.outstanding = Math.max(0, member.outstanding - 1);
      call.attempt = undefined;
      call.answer = undefined;
    }
  }

  /** An answer of a node that the call has left is passed over. */
  #find(address: string, number: number): EntryCall | undefined {
    const call = this.#calls.get(number);
    return call?.attempt?.address === address ? call : undefined;
  }
}

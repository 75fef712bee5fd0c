/** Carries each call of this node's callers through to its final answer. */
import {
  BodyCollector,
  listFurtherParts,
} from "../../mesh/common/body_parts.ts";
import type {
  AnswerOpened,
  CallFailed,
  LoadFigures,
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
  createMemberNoticeLines,
  createMovedLine,
  createUnansweredLine,
  createWithdrawnLine,
} from "../common/entry_lines.ts";
import { describeEvidence } from "../common/crash_lines.ts";
import { decideHandover } from "../common/drain_decision.ts";
import type { HandoverDecision } from "../common/drain_decision.ts";
import { isSuspectRefusal } from "../common/suspect_refusal.ts";
import {
  chooseSuspectMember,
  EntrySuspects,
} from "../common/entry_suspects.ts";
import { EntryBudget } from "../common/entry_budget.ts";
import type { BudgetCounts } from "../common/entry_budget.ts";
import {
  NO_ROOM_FAILURE,
  RETRY_CAUSES,
  STALLED_FAILURE,
} from "../common/attempt_failure.ts";
import type { AttemptFailure } from "../common/attempt_failure.ts";
import type { EntryCallsOptions } from "../common/entry_options.ts";
import { decideNextStep } from "../common/entry_decision.ts";
import type { NextStep } from "../common/entry_decision.ts";
import type {
  EntryFailure,
  EntryRequest,
  EntryResult,
} from "../common/entry_types.ts";
import {
  CALL_STALL_LIMIT_MS,
  isMemberSilent,
  LINK_SILENCE_LIMIT_MS,
  measureCallSilence,
} from "../common/link_silence.ts";
import { recordResult } from "../common/member.ts";
import type { Member } from "../common/member.ts";
import { getFailureShare } from "../common/member_choice.ts";
import { PlacementLog } from "../common/placement_log.ts";
import { ReliabilityLog } from "../common/reliability_log.ts";
import { RootDecisions } from "../common/root_decision.ts";
import { computeMemberWaitEndMs, MAX_WAITING } from "../common/start_wait.ts";

/** Retry time of a root request that was refused for load. */
const ROOT_RETRY_MS = 700;

/**
 * Calls in progress of this VM's callers, by number; a process never uses a
 * number twice. This node is the entry of the calls: through it they enter the
 * mesh.
 */
export class EntryCalls {
  readonly #options: EntryCallsOptions;
  readonly #budget: EntryBudget;
  readonly #suspects: EntrySuspects;
  readonly #roots: RootDecisions;
  readonly #placementLog: PlacementLog;
  readonly #reliabilityLog = new ReliabilityLog();
  readonly #calls = new Map<number, EntryCall>();
  /** Calls of services without a known member. */
  readonly #memberWaiters = new Set<EntryCall>();
  #nextId = 1;

  constructor(options: EntryCallsOptions) {
    this.#options = options;
    const { budget, readClock, draw, crashes } = options;
    this.#roots = new RootDecisions(options);
    this.#suspects = new EntrySuspects({ ...options, knowledge: crashes });
    this.#placementLog = new PlacementLog(options.dataCentre);
    this.#budget = new EntryBudget(budget, { startedAtMs: readClock(), draw });
  }

  /** Counts the attempts for each service in the budget window ending now. */
  countByService(): ReadonlyMap<string, BudgetCounts> {
    const nowMs = this.#options.readClock();
    return new Map(
      this.#budget.listServices()
        .map((name) => [name, this.#budget.countAttempts(name, nowMs)]),
    );
  }

  /** Number of calls without a final answer. */
  get openCount(): number {
    return this.#calls.size;
  }

  /** Starts a call to a service; the function returned withdraws it. */
  start(
    request: EntryRequest,
    service: string,
    onResult: (result: EntryResult) => void,
  ): () => void {
    const call = createEntryCall(this.#nextId++, request, service, onResult);
    this.#calls.set(call.id, call);
    if (!request.isNested && this.#tryRefuseRoot(call)) {
      return () => {};
    }
    this.#budget.recordFirstAttempt(
      createBudgetedCall(call),
      request.arrivedAtMs,
    );
    this.#options.recordAttempt(service, "first");
    this.#send(call);
    return () => this.#withdraw(call);
  }

  /** Processes a frame from the node at `address`. */
  receive(address: string, frame: MeshFrame): void {
    switch (frame.type) {
      case "AnswerOpened":
        this.#openAnswer(address, frame);
        return;
      case "BodyPart": {
        const call = this.#findCurrent(address, frame.call);
        if (call?.answer !== undefined) {
          call.answer.body.add(frame.bytes);
          this.#finishAnswer(call);
        }
        return;
      }
      case "CallFailed":
        this.#receiveFailure(address, frame);
        return;
      case "LoadReported":
        this.#receiveLoad(address, frame);
        return;
      case "CallOpened":
      case "CallCancelled":
      case "CallerIntroduced":
        return;
    }
  }

  /**
   * Fails the attempts on a lost link. They may have run, unless the link never
   * opened.
   */
  handleLinkLoss(address: string, reason: string, wasOpen: boolean): void {
    this.#options.members.suspect(address, this.#options.readClock());
    const failure: AttemptFailure = wasOpen
      ? { kind: "unknown", cause: "link_lost", reason }
      : { kind: "refused", cause: "refused", reason };
    [...this.#calls.values()]
      .filter((call) => call.attempt?.address === address)
      .forEach((call) => {
        if (wasOpen) {
          this.#suspects.recordLinkLoss(call);
        }
        this.#fail(call, failure);
      });
  }

  /** Lists the addresses of nodes at which calls are in progress. */
  listCalledAddresses(): ReadonlySet<string> {
    const addresses = new Set<string>();
    for (const { attempt } of this.#calls.values()) {
      if (attempt !== undefined) {
        addresses.add(attempt.address);
      }
    }
    return addresses;
  }

  /**
   * Ends expired calls, retries stalled ones, drops silent links, and probes
   * suspect members that are due.
   */
  tick(): void {
    const { members, links, readClock, loop } = this.#options;
    const { getLastReceivedAtMs } = links;
    const nowMs = readClock();
    const readUntilMs = nowMs - loop.lagMs;
    const silentAddresses = new Set<string>();
    for (const call of [...this.#calls.values()]) {
      const silenceMs = measureCallSilence(
        call.attempt,
        getLastReceivedAtMs,
        readUntilMs,
      );
      if (nowMs >= call.request.deadlineMs) {
        this.#cancelAttempt(call);
        this.#finish(call, { type: "Expired" }, "time limit", { silenceMs });
      } else if (silenceMs > LINK_SILENCE_LIMIT_MS) {
        silentAddresses.add(call.attempt!.address);
      } else if (
        silenceMs > CALL_STALL_LIMIT_MS && this.#canRetryElsewhere(call, nowMs)
      ) {
        this.#cancelAttempt(call);
        this.#fail(call, STALLED_FAILURE);
      }
    }
    this.#resumeMemberWaiters();
    this.#suspects.examineLost((service, ingress) =>
      members.get(service, ingress)?.announcement.backendInstance
    );
    silentAddresses.forEach((address) => links.drop(address, "silent"));
    members.takeDueProbes(nowMs).forEach((address) => links.probe(address));
  }

  /**
   * Refuses the calls that were not sent to a gate, and recalls the others, as
   * the node ends. A gate refuses a recalled call that it has not handed over.
   */
  recallAll(): void {
    const { links } = this.#options;
    for (const call of [...this.#calls.values()]) {
      const { attempt } = call;
      if (attempt === undefined || links.isOpening(attempt.address)) {
        this.#cancelAttempt(call);
        this.#finish(call, createFailure(call), "draining");
      } else if (call.answer === undefined) {
        links.recall(attempt.address, call.id);
      }
    }
  }

  /**
   * Refuses a root request if a service on its call path is short of capacity.
   * Returns whether it was refused.
   */
  #tryRefuseRoot(call: EntryCall): boolean {
    const decision = this.#roots.decide(call.request, call.service);
    if (decision.type === "Admit") {
      return false;
    }
    const failure = { type: "Refused", retryAfterMs: ROOT_RETRY_MS } as const;
    this.#finish(call, failure, decision.reason, decision.inputs);
    return true;
  }

  /**
   * Returns whether to retry a call that was answered with an error. The error
   * of a leaf service, which calls no other, comes from its backend server
   * alone, and another one may succeed. In other services a retry would repeat
   * the downstream call that failed.
   */
  #isRetryUseful(call: EntryCall, nowMs: number): boolean {
    return this.#options.members.isLeaf(call.service) &&
      this.#canRetryElsewhere(call, nowMs);
  }

  /** Whether a call would be retried elsewhere if its attempt were abandoned. */
  #canRetryElsewhere(call: EntryCall, nowMs: number): boolean {
    const step = this.#decideNext(
      call,
      "unknown",
      call.handoverCount + 1,
      nowMs,
    );
    return step.type === "TryElsewhere";
  }

  /**
   * Sends a call once the event loop has caught up. A process that lags reads
   * the close of a connection after the request on it, and would send calls
   * for callers that have left.
   */
  #send(call: EntryCall): void {
    this.#options.loop.runAfterPendingReads(() => {
      if (this.#calls.has(call.id)) {
        this.#sendNow(call);
      }
    });
  }

  /** Chooses a member and sends the call there; without one, it waits. */
  #sendNow(call: EntryCall): void {
    const { members, readClock, links } = this.#options;
    const nowMs = readClock();
    const decision = this.#decideHandover(call, nowMs);
    if (decision.type === "Refuse") {
      call.retryAfterMs = decision.retryAfterMs;
      this.#finish(call, createFailure(call), "draining");
      return;
    }
    const judgement = this.#suspects.evaluate(call);
    const { verdict } = judgement;
    if (verdict.type === "Quarantined") {
      call.retryAfterMs = verdict.untilMs - nowMs;
      const failure = createFailure(call);
      const inputs = describeEvidence(judgement.evidence);
      this.#finish(call, failure, "quarantined", inputs);
      return;
    }
    const isSuspect = verdict.type === "Suspect";
    const member = isSuspect
      ? chooseSuspectMember(
        members.listReachable(call.service, call.tried),
        judgement,
      )
      : this.#chooseMember(call, nowMs);
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
    const evidence = isSuspect ? this.#suspects.flatten(judgement) : undefined;
    links.send(address, createCallOpened(call, evidence));
    for (const bytes of listFurtherParts(body)) {
      links.send(address, { type: "BodyPart", call: call.id, bytes });
    }
  }

  #decideHandover(call: EntryCall, nowMs: number): HandoverDecision {
    const times = this.#options.getDrainTimes();
    return decideHandover(call.request.deadlineMs, { times, nowMs });
  }

  #chooseMember(call: EntryCall, nowMs: number): Member | undefined {
    const { members, dataCentre, draw, links, loop, log } = this.#options;
    const readUntilMs = nowMs - loop.lagMs;
    const member = members.choose(call.service, {
      dataCentre,
      tried: call.tried,
      nowMs,
      draw: draw(),
      canProbe: call.request.route.isIdempotent && !call.request.isNested,
      canProbeLate: () => this.#canRetryElsewhere(call, nowMs),
      isSilent: (candidate) =>
        isMemberSilent(candidate, links.getLastReceivedAtMs, readUntilMs),
    });
    const line = member &&
      this.#placementLog.record(call.service, member, nowMs);
    if (line !== undefined) {
      log.write(line);
    }
    return member;
  }

  /** Queues a call while a first member may still be reported, or refuses it. */
  #waitForMember(call: EntryCall, nowMs: number): void {
    const { arrivedAtMs, deadlineMs } = call.request;
    const callerTimeoutMs = deadlineMs - arrivedAtMs;
    const canStillJoin = call.tried.size === 0 &&
      !this.#options.members.isComplete(call.service);
    if (
      canStillJoin && this.#memberWaiters.size < MAX_WAITING &&
      nowMs < computeMemberWaitEndMs({ arrivedAtMs, callerTimeoutMs })
    ) {
      this.#memberWaiters.add(call);
    } else {
      this.#finish(call, createFailure(call), "no member");
    }
  }

  #resumeMemberWaiters(): void {
    const waiters = [...this.#memberWaiters];
    this.#memberWaiters.clear();
    waiters.filter(({ id }) => this.#calls.has(id))
      .forEach((call) => this.#send(call));
  }

  /** Starts to collect an answer, or retries the call if it is an error. */
  #openAnswer(address: string, opened: AnswerOpened): void {
    const { members, readClock } = this.#options;
    const nowMs = readClock();
    this.#recordLoad(address, opened.load, nowMs);
    const call = this.#findCurrent(address, opened.call);
    if (call === undefined) {
      return;
    }
    const isFailure = opened.status >= 500;
    if (isFailure && this.#isRetryUseful(call, nowMs)) {
      const reason = `status ${opened.status}`;
      this.#fail(call, { kind: "unknown", cause: "status", reason });
      return;
    }
    // An error of a service that makes calls may come from further downstream.
    const isOwnFailure = isFailure && members.isLeaf(call.service);
    this.#recordResult(call, isOwnFailure, nowMs);
    const body = new BodyCollector(opened.bodyBytes, opened.body);
    if (!body.isComplete && !this.#hasRoomFor(opened.bodyBytes)) {
      this.#cancelAttempt(call);
      this.#fail(call, NO_ROOM_FAILURE);
      return;
    }
    call.answer = { opened, body };
    this.#finishAnswer(call);
  }

  /** Whether another answer may be collected; a single one always may. */
  #hasRoomFor(bodyBytes: number): boolean {
    const collectedBytes = [...this.#calls.values()].reduce(
      (sum, { answer }) => sum + (answer?.opened.bodyBytes ?? 0),
      0,
    );
    return collectedBytes === 0 ||
      collectedBytes + bodyBytes <= this.#options.memory.collectedAnswers;
  }

  #finishAnswer(call: EntryCall): void {
    const { opened, body } = call.answer!;
    if (!body.isComplete) {
      return;
    }
    this.#suspects.recordAnswer(call, opened.status);
    this.#end(call);
    const { status, headers } = opened;
    call.onResult({ type: "Answered", status, headers, body: body.join() });
  }

  #receiveFailure(address: string, frame: CallFailed): void {
    const { members, readClock } = this.#options;
    this.#recordLoad(address, frame.load, readClock());
    const call = this.#findCurrent(address, frame.call);
    if (call === undefined) {
      return;
    }
    if (frame.reason === "other_service") {
      members.removeAddress(call.service, address);
    }
    call.retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, frame.retryAfterMs);
    const { kind, reason, ended } = frame;
    if (ended !== undefined) {
      this.#suspects.recordEnd(call, ended);
    }
    if (isSuspectRefusal(reason)) {
      // Another member would run it beside the suspects of this one.
      this.#finish(call, createFailure(call), reason);
      return;
    }
    this.#fail(call, { kind, cause: RETRY_CAUSES[kind], reason });
  }

  /** Records a member's load, and what its backend server says of itself. */
  #recordLoad(address: string, load: LoadFigures, nowMs: number): void {
    const { members, log } = this.#options;
    members.recordLoad(address, load, nowMs);
    if (load.notice === undefined) {
      return;
    }
    const before = members.getNotice(address);
    members.recordNotice(address, load.notice);
    const after = members.getNotice(address);
    createMemberNoticeLines(address, before, after)
      .forEach((line) => log.write(line));
  }

  #receiveLoad(address: string, frame: LoadReported): void {
    const { members, readClock, receiveCallerReport } = this.#options;
    const nowMs = readClock();
    this.#recordLoad(address, frame.load, nowMs);
    if (frame.below !== undefined) {
      members.recordDownstreamPressure(address, frame.below, nowMs);
    }
    if (frame.callers.length > 0) {
      receiveCallerReport(address, frame.callers);
    }
    if (frame.crashes !== undefined) {
      this.#options.crashes.receive(frame.crashes, "node");
    }
  }

  /** Ends an attempt as failed, and retries the call elsewhere or ends it. */
  #fail(call: EntryCall, { kind, cause, reason }: AttemptFailure): void {
    const nowMs = this.#options.readClock();
    const { member } = call.attempt!;
    if (kind === "unknown" || kind === "rejected") {
      this.#recordResult(call, true, nowMs);
      call.handoverCount += 1;
      call.mayHaveRun ||= kind === "unknown";
    }
    this.#releaseAttempt(call);
    const step = this.#decideNext(call, kind, call.handoverCount, nowMs);
    switch (step.type) {
      case "TryElsewhere":
        this.#options.recordAttempt(call.service, cause);
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

  /**
   * Records the result of an attempt at its member, and logs if that ejects the
   * member, or changes which ones are held to be failing.
   */
  #recordResult(call: EntryCall, isFailure: boolean, nowMs: number): void {
    const { log, members } = this.#options;
    const { member } = call.attempt!;
    const isEjected = recordResult(member, isFailure, nowMs);
    this.#reliabilityLog
      .update(call.service, members.list(call.service), nowMs)
      .forEach((line) => log.write(line));
    if (isEjected) {
      log.write({
        event: "MemberLeftOut",
        isFailure: true,
        requestId: call.request.requestId,
        service: call.service,
        member: member.announcement.ingress,
        failures: member.consecutiveFailures,
        failureShare: getFailureShare(member, nowMs),
        forMs: member.ejectedUntilMs - nowMs,
      });
    }
  }

  #decideNext(
    call: EntryCall,
    kind: CallFailed["kind"],
    handoverCount: number,
    nowMs: number,
  ): NextStep {
    const { members } = this.#options;
    const { route, deadlineMs } = call.request;
    const others = members.listOpen(call.service, call.tried);
    const context = {
      nodes: members.countNodes(),
      hasDownstreamCalls: members.hasDownstreamCalls(call.service, route.name),
    };
    return decideNextStep({
      kind,
      isIdempotent: route.isIdempotent,
      handoverCount,
      mayHaveRun: call.mayHaveRun,
      maxAttempts: route.maxAttempts,
      rerouteCount: call.rerouteCount,
      timeLeftMs: deadlineMs - nowMs,
      canRetry: this.#budget.canRetry(createBudgetedCall(call), context, nowMs),
      hasOtherMember: others.length > 0,
      canHandOver: this.#decideHandover(call, nowMs).type === "HandOver",
    });
  }

  /** Ends a call whose caller has left. */
  #withdraw(call: EntryCall): void {
    if (this.#calls.has(call.id)) {
      this.#logWithdrawn(call);
      this.#cancelAttempt(call);
      this.#end(call);
    }
  }

  #logWithdrawn(call: EntryCall): void {
    const { log, links, readClock, loop } = this.#options;
    const isLinkOpen = call.attempt !== undefined &&
      links.isOpen(call.attempt.address);
    const inputs = { nowMs: readClock(), isLinkOpen, lagMs: loop.lagMs };
    log.write(createWithdrawnLine(call, inputs));
  }

  #cancelAttempt(call: EntryCall): void {
    const { attempt } = call;
    if (attempt !== undefined) {
      this.#options.links.withdraw(attempt.address, call.id);
    }
  }

  /**
   * Ends a call without an answer. `inputs` are logged: the figures beyond the
   * call's own state that led to this.
   */
  #finish(
    call: EntryCall,
    failure: EntryFailure,
    reason: string,
    inputs: Readonly<Record<string, unknown>> = {},
  ): void {
    const { readClock, log } = this.#options;
    this.#end(call);
    const nowMs = readClock();
    const outcome = { failure, reason, nowMs, inputs };
    log.write(createUnansweredLine(call, outcome));
    call.onResult({ type: "Failed", failure });
  }

  #end(call: EntryCall): void {
    this.#releaseAttempt(call);
    this.#calls.delete(call.id);
    const { recordCallDuration, readClock } = this.#options;
    const { route, arrivedAtMs } = call.request;
    recordCallDuration(route.name, readClock() - arrivedAtMs);
  }

  #releaseAttempt(call: EntryCall): void {
    if (call.attempt !== undefined) {
      const { member } = call.attempt;
      member.outstanding = Math.max(0, member.outstanding - 1);
      call.attempt = undefined;
      call.answer = undefined;
    }
  }

  /**
   * Finds the call whose current attempt is at a node; undefined for frames of
   * abandoned attempts.
   */
  #findCurrent(address: string, callNumber: number): EntryCall | undefined {
    const call = this.#calls.get(callNumber);
    return call?.attempt?.address === address ? call : undefined;
  }
}

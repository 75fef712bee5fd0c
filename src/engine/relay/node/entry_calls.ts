/** Sees each call of this node's callers through to its final answer. */
import {
  BodyCollector,
  cutFirstPart,
  listFurtherParts,
} from "../../mesh/common/body_parts.ts";
import type {
  AnswerOpened,
  CallFailed,
  CallOpened,
  LoadReported,
  MeshFrame,
} from "../../mesh/common/frames.ts";
import { EntryBudget } from "../common/entry_budget.ts";
import type { BudgetTerms } from "../common/entry_budget.ts";
import { decideNextStep } from "../common/entry_decision.ts";
import type { NextStep } from "../common/entry_decision.ts";
import type {
  Attempt,
  EntryFailure,
  EntryRequest,
  EntryResult,
} from "../common/entry_types.ts";
import { MemberTable, noteResult } from "../common/member_table.ts";
import type { Member } from "../common/member_table.ts";
import { isRootRefused } from "../common/root_admission.ts";
import type { RelayLog } from "../common/relay_log.ts";

/** How frames get to a node, and what is known of the way there. */
export interface MeshPath {
  readonly send: (address: string, frame: MeshFrame) => void;
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
  readonly budget: BudgetTerms;
  readonly path: MeshPath;
  readonly readClock: () => number;
  readonly draw: () => number;
  /** The least urgent rank of the routes in force. */
  readonly getLastRank: () => number;
  readonly log: RelayLog;
}

/** A call that was started, with where its result goes. */
interface EntryCall {
  readonly id: number;
  readonly request: EntryRequest;
  readonly service: string;
  readonly onResult: (result: EntryResult) => void;
  readonly tried: Set<string>;
  handedOver: number;
  mayHaveRun: boolean;
  rerouted: number;
  retryAfterMs: number;
  attempt: Attempt | undefined;
  answer:
    | { readonly opened: AnswerOpened; readonly body: BodyCollector }
    | undefined;
}

/**
 * Silence on a link with calls in progress after which it is given up: several
 * reports of the other end, 100 ms apart, did not come.
 */
const SILENCE_MS = 1_200;
/**
 * Silence after which other members are chosen: three reports did not come.
 * Each call sent to a node that is cut off is lost, or late by its time limit.
 */
const SUSPECT_MS = 350;
/**
 * Silence after which a call that may be repeated goes elsewhere: a usual time
 * limit, 800 ms, leaves room for a second run by then.
 */
const STALLED_MS = 500;
/** When a root that was refused for pressure may come back. */
const ROOT_RETRY_MS = 700;
/** A refused caller comes back no sooner, in milliseconds. */
const MIN_RETRY_MS = 50;

/** Calls by their number; numbers are never used twice in a process. */
export class EntryCalls {
  readonly #options: EntryCallsOptions;
  readonly #budget: EntryBudget;
  readonly #calls = new Map<number, EntryCall>();
  #nextId = 1;

  constructor(options: EntryCallsOptions) {
    this.#options = options;
    this.#budget = new EntryBudget(options.budget);
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
    const call: EntryCall = {
      id: this.#nextId++,
      request,
      service,
      onResult,
      tried: new Set(),
      handedOver: 0,
      mayHaveRun: false,
      rerouted: 0,
      retryAfterMs: MIN_RETRY_MS,
      attempt: undefined,
      answer: undefined,
    };
    this.#calls.set(call.id, call);
    if (!request.isNested && this.#isRefused(call)) {
      this.#finish(
        call,
        { type: "Refused", retryAfterMs: ROOT_RETRY_MS },
        "pressure",
      );
      return () => {};
    }
    this.#budget.noteFirst(service, request.arrivedAtMs);
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
        return;
    }
  }

  /** A link is gone; what was sent on it may run, if it was ever open. */
  loseLink(address: string, reason: string, wasOpen: boolean): void {
    this.#options.members.suspect(address, this.#options.readClock());
    const kind = wasOpen ? "unknown" : "refused";
    const calls = [...this.#calls.values()]
      .filter((call) => call.attempt?.address === address);
    calls.forEach((call) => this.#fail(call, kind, reason));
  }

  /** Ends calls whose time is up, and gives silent links up. */
  tick(): void {
    const { members, path, readClock } = this.#options;
    const nowMs = readClock();
    const silent = new Set<string>();
    for (const call of [...this.#calls.values()]) {
      const silenceMs = this.#measureSilence(call, nowMs);
      if (nowMs >= call.request.deadlineMs) {
        this.#cancelAttempt(call);
        this.#finish(call, { type: "Expired" }, "time limit");
      } else if (silenceMs > SILENCE_MS) {
        silent.add(call.attempt!.address);
      } else if (silenceMs > STALLED_MS && this.#canRepeat(call, nowMs)) {
        this.#cancelAttempt(call);
        this.#fail(call, "unknown", "stalled");
      }
    }
    silent.forEach((address) => path.drop(address, "silent"));
    members.takeDueProbes(nowMs).forEach((address) => path.probe(address));
  }

  /** Roots are refused where a service on their way is short of room. */
  #isRefused({ request, service }: EntryCall): boolean {
    const { members, draw, getLastRank } = this.#options;
    const pressure = members
      .computeWayPressure(service, request.route.name, request.arrivedAtMs);
    const { rank } = request.route;
    return isRootRefused({
      rank,
      lastRank: getLastRank(),
      pressure,
      draw: draw(),
    });
  }

  /** Measures how long a call's node has said nothing; 0 on this node. */
  #measureSilence({ attempt }: EntryCall, nowMs: number): number {
    if (attempt === undefined) {
      return 0;
    }
    const heardAtMs = this.#options.path.getHeardAtMs(attempt.address);
    return heardAtMs === undefined
      ? 0
      : nowMs - Math.max(heardAtMs, attempt.sentAtMs);
  }

  #isSilent(member: Member, nowMs: number): boolean {
    const { announcement, outstanding, busySinceMs } = member;
    const heardAtMs = this.#options.path.getHeardAtMs(announcement.ingress);
    return heardAtMs !== undefined && outstanding > 0 &&
      nowMs - Math.max(heardAtMs, busySinceMs) > SUSPECT_MS;
  }

  /** Whether a call would go elsewhere if its attempt were given up. */
  #canRepeat(call: EntryCall, nowMs: number): boolean {
    const step = this.#decide(call, "unknown", call.handedOver + 1, nowMs);
    return step.type === "TryElsewhere";
  }

  #send(call: EntryCall): void {
    const { members, dataCentre, readClock, draw, path } = this.#options;
    const nowMs = readClock();
    const member = members.choose({
      service: call.service,
      dataCentre,
      tried: call.tried,
      nowMs,
      draw: draw(),
      isSilent: (found) => this.#isSilent(found, nowMs),
    });
    if (member === undefined) {
      this.#finish(call, this.#createRefusal(call), "no member");
      return;
    }
    const address = member.announcement.ingress;
    member.busySinceMs = member.outstanding === 0 ? nowMs : member.busySinceMs;
    member.outstanding += 1;
    member.sentSinceLoad += 1;
    call.tried.add(address);
    call.attempt = { member, address, call: call.id, sentAtMs: nowMs };
    const { body } = call.request;
    path.send(address, this.#createOpening(call, nowMs));
    for (const bytes of listFurtherParts(body)) {
      path.send(address, { type: "BodyPart", call: call.id, bytes });
    }
  }

  #createOpening(call: EntryCall, nowMs: number): CallOpened {
    const { request, service } = call;
    const { route, body } = request;
    return {
      type: "CallOpened",
      call: call.id,
      requestId: request.requestId,
      service,
      method: request.method,
      target: request.target,
      headers: request.headers,
      timeLeftMs: Math.max(0, request.deadlineMs - nowMs),
      rank: request.rank,
      route: route.name,
      isIdempotent: route.isIdempotent,
      isNested: request.isNested,
      bodyBytes: body.length,
      body: cutFirstPart(body),
    };
  }

  #openAnswer(address: string, opened: AnswerOpened): void {
    const { members, readClock } = this.#options;
    const nowMs = readClock();
    members.noteLoad(address, opened.load, nowMs);
    const call = this.#find(address, opened.call);
    if (call === undefined) {
      return;
    }
    const { member, sentAtMs } = call.attempt!;
    const isFailure = opened.status >= 500;
    noteResult(member, { isFailure, latencyMs: nowMs - sentAtMs }, nowMs);
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
    members.noteLoad(address, frame.load, readClock());
    const call = this.#find(address, frame.call);
    if (call === undefined) {
      return;
    }
    if (frame.reason === "other_service") {
      members.removeAddress(call.service, address);
    }
    call.retryAfterMs = Math.max(MIN_RETRY_MS, frame.retryAfterMs);
    this.#fail(call, frame.kind, frame.reason);
  }

  #takeLoad(address: string, frame: LoadReported): void {
    const { members, readClock } = this.#options;
    members.noteLoad(address, frame.load, readClock());
    members.noteBelow(address, frame.below);
  }

  #fail(call: EntryCall, kind: CallFailed["kind"], reason: string): void {
    const nowMs = this.#options.readClock();
    const { member } = call.attempt!;
    this.#releaseAttempt(call);
    if (kind === "unknown" || kind === "rejected") {
      call.handedOver += 1;
      call.mayHaveRun ||= kind === "unknown";
      noteResult(member, { isFailure: true, latencyMs: 0 }, nowMs);
    }
    const step = this.#decide(call, kind, call.handedOver, nowMs);
    switch (step.type) {
      case "TryElsewhere":
        if (step.isArrival) {
          this.#budget.noteRetry(call.service, nowMs);
        } else {
          call.rerouted += 1;
        }
        this.#send(call);
        return;
      case "Refuse":
        this.#finish(call, this.#createRefusal(call), reason);
        return;
      case "FailUnknown":
        this.#finish(call, { type: "Unknown" }, reason);
        return;
      case "FailExpired":
        this.#finish(call, { type: "Expired" }, reason);
        return;
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
    const fleet = {
      nodes: members.countNodes(),
      isLeaf: members.isLeaf(call.service),
    };
    return decideNextStep({
      kind,
      isIdempotent: route.isIdempotent,
      handedOver,
      mayHaveRun: call.mayHaveRun,
      maxAttempts: route.maxAttempts,
      rerouted: call.rerouted,
      timeLeftMs: deadlineMs - nowMs,
      canRetry: this.#budget.canRetry(call.service, fleet, nowMs),
      hasOtherMember: others.length > 0,
    });
  }

  #createRefusal(call: EntryCall): EntryFailure {
    return call.mayHaveRun
      ? { type: "Unknown" }
      : { type: "Refused", retryAfterMs: call.retryAfterMs };
  }

  #withdraw(call: EntryCall): void {
    if (this.#calls.has(call.id)) {
      this.#cancelAttempt(call);
      this.#end(call);
    }
  }

  #cancelAttempt(call: EntryCall): void {
    const { attempt } = call;
    if (attempt !== undefined && this.#options.path.isOpen(attempt.address)) {
      const frame = { type: "CallCancelled", call: call.id } as const;
      this.#options.path.send(attempt.address, frame);
    }
  }

  #finish(call: EntryCall, failure: EntryFailure, reason: string): void {
    const { readClock, log } = this.#options;
    this.#end(call);
    log.write({
      event: "CallNotAnswered",
      isFailure: true,
      requestId: call.request.requestId,
      route: call.request.route.name,
      service: call.service,
      outcome: failure.type,
      reason,
      tried: [...call.tried],
      handedOver: call.handedOver,
      elapsedMs: readClock() - call.request.arrivedAtMs,
    });
    call.onResult({ type: "Failed", failure });
  }

  #end(call: EntryCall): void {
    this.#releaseAttempt(call);
    this.#calls.delete(call.id);
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

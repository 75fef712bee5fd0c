/**
 * Carries out the decisions of the admission gate: runs calls at the backend
 * server beside this node, and answers or refuses them.
 */
import { isSameEndpoint } from "../../../base/common/ip_endpoint.ts";
import type { IpEndpoint } from "../../../base/common/ip_endpoint.ts";
import type {
  AnswerOpened,
  BackendNotice,
  CallFailed,
  CallOpened,
  FailureKind,
  LoadFigures,
  MeshFrame,
} from "../../mesh/common/frames.ts";
import {
  BodyCollector,
  cutFirstPart,
  listFurtherParts,
} from "../../mesh/common/body_parts.ts";
import { GateCallIndex } from "../common/gate_call_index.ts";
import type { GateCallState, SendFrame } from "../common/gate_call_index.ts";
import { decideHandover } from "../common/drain_decision.ts";
import { reduceGate } from "../common/gate.ts";
import type { GateEffect, GateEvent } from "../common/gate.ts";
import {
  computeRetryAfterMs,
  createGate,
  createLoadFigures,
  getNotice,
} from "../common/gate_state.ts";
import { isSameProcessInstance } from "../common/local_backend.ts";
import type { LocalBackend } from "../common/local_backend.ts";
import {
  createCancelledLine,
  createFailedLine,
  createHandedOverLine,
} from "../common/gate_lines.ts";
import { GateLoadLog } from "../common/gate_load_log.ts";
import type { EvidencedEnd } from "../../quarantine/common/crash_evidence.ts";
import { BackendClient } from "./backend_client.ts";
import type { BackendHead, BackendResult } from "./backend_client.ts";
import { GateCrashes } from "./gate_crashes.ts";
import type { GateCallsOptions } from "./gate_options.ts";
import type { EndedCall } from "./gate_crashes.ts";
import { GateStatements } from "./gate_statements.ts";

/** A call is failed this long after its deadline if it has no answer. */
const ANSWER_GRACE_MS = 1_000;

/** The admission gate of the backend server beside this node, with its calls. */
export class GateCalls implements AsyncDisposable {
  readonly #options: GateCallsOptions;
  readonly #gate = createGate();
  readonly #calls: GateCallIndex;
  readonly #loadLog = new GateLoadLog();
  /** Services on whose VMs the calls of each link begin, by link. */
  readonly #callerServices = new Map<string, string>();
  #client: BackendClient | undefined;
  /** The backend server last announced, kept while it is silent. */
  #lastKnownBackend: LocalBackend | undefined;
  readonly #crashes: GateCrashes;
  readonly #statements: GateStatements;
  #nextId = 1;
  /** Whether more frames of the current message follow. */
  #isReadingMessage = false;
  /** Calls to admit once all frames of the current message are read. */
  readonly #callsToAdmit: GateCallState[] = [];

  constructor(options: GateCallsOptions) {
    this.#options = options;
    this.#calls = new GateCallIndex(options.memory.gateBodies);
    this.#crashes = new GateCrashes({
      ...options,
      knowledge: options.crashes,
      getBackend: () => this.#gate.backend ?? this.#lastKnownBackend,
      listRunning: () => this.#listRunning(),
      getCallerService: (linkId) => this.#callerServices.get(linkId) ?? "",
      failCall: (call, failure) => this.#failEnded(call, failure),
    });
    this.#statements = new GateStatements({
      ...options,
      gate: this.#gate,
      step: (event) => this.#step(event),
    });
  }

  /** Number of calls that have not ended. */
  get openCount(): number {
    return this.#calls.size;
  }

  /** The backend server as last announced; undefined while it is silent. */
  get backend(): LocalBackend | undefined {
    return this.#gate.backend;
  }

  /** What the backend server says of itself; undefined if nothing is known. */
  get notice(): BackendNotice | undefined {
    return getNotice(this.#gate);
  }

  /** Calls that may be handed over at once; undefined without a rate limit. */
  get tokens(): number | undefined {
    return this.#gate.bucket?.tokens;
  }

  /** Returns the load that is reported to callers. */
  readLoad(): LoadFigures {
    return createLoadFigures(this.#gate);
  }

  /** Whether calls of a link are in progress. */
  hasCalls(linkId: string): boolean {
    return this.#calls.hasCallsOfLink(linkId);
  }

  /**
   * Updates the backend server from its announcement; undefined if it is silent.
   * Fails the calls that ran in a former process instance.
   */
  changeBackend(backend: LocalBackend | undefined): void {
    const before = this.#gate.backend ?? this.#lastKnownBackend;
    this.#lastKnownBackend = backend ?? before;
    const isReplaced = before !== undefined && backend !== undefined &&
      isSameEndpoint(before.address, backend.address) &&
      !isSameProcessInstance(before, backend);
    const aborted = isReplaced ? this.#abortRunning() : [];
    if (backend !== undefined) {
      this.#refuseOtherServices(backend.service);
    }
    this.#step({ type: "BackendChanged", backend });
    if (isReplaced) {
      this.#crashes.recordReplacement(before, aborted);
    }
  }

  /** Records that the backend server has left; it may still end its runs. */
  recordDeparture(): void {
    const left = this.#gate.backend ?? this.#lastKnownBackend;
    this.changeBackend(undefined);
    this.#lastKnownBackend = left && { ...left, isDraining: true };
  }

  /** Advances the gate, fails overdue calls, and logs the load under pressure. */
  tick(): void {
    const { log, readClock, isRoomMeasured } = this.#options;
    this.#gate.isRoomMeasured = isRoomMeasured();
    this.#step({ type: "Ticked" });
    this.#failOverdue();
    this.#client?.checkProgress(readClock());
    const line = this.#loadLog.sample(this.#gate, readClock());
    if (line !== undefined) {
      log.write(line);
    }
  }

  /**
   * Receives the frames of one message from a caller. `delayMs` is how much
   * longer than usual the message was in transit. No call is handed over before
   * all frames are read: if a process lagged, a call and its cancellation come
   * in the same message. `linkId` identifies the link.
   */
  receiveAll(
    linkId: string,
    frames: readonly MeshFrame[],
    link: { readonly send: SendFrame; readonly delayMs?: number },
  ): void {
    this.#isReadingMessage = true;
    frames.forEach((frame) =>
      this.receive(linkId, frame, link.send, link.delayMs)
    );
    this.#isReadingMessage = false;
    this.#callsToAdmit.splice(0)
      .filter(({ id }) => this.#calls.has(id))
      .forEach((call) => this.#admit(call));
  }

  /** Receives one frame of a link; it was `delayMs` longer in transit than usual. */
  receive(
    linkId: string,
    frame: MeshFrame,
    send: SendFrame,
    delayMs = 0,
  ): void {
    switch (frame.type) {
      case "CallOpened":
        this.#openCall({ linkId, opened: frame, send, delayMs });
        return;
      case "BodyPart": {
        const call = this.#calls.findByLink(linkId, frame.call);
        call?.body.add(frame.bytes);
        if (call?.phase === "receiving" && call.body.isComplete) {
          this.#admitAfterMessage(call);
        }
        return;
      }
      case "CallCancelled": {
        const call = this.#calls.findByLink(linkId, frame.call);
        if (call !== undefined && frame.isRecall === true) {
          this.#recall(call, "recalled");
        } else if (call !== undefined) {
          this.#cancel(call, "caller left");
        }
        return;
      }
      case "CallerIntroduced":
        this.#callerServices.set(linkId, frame.service);
        if (frame.notice !== undefined) {
          const { notice } = frame;
          this.#step({ type: "NoticeTold", notice, source: { link: linkId } });
        }
        return;
      case "AnswerOpened":
      case "CallFailed":
      case "LoadReported":
        return;
    }
  }

  /** Refuses the calls that have not been handed over, as the node ends. */
  refuseWaiting(): void {
    [...this.#calls.list()].forEach((call) => this.#recall(call, "draining"));
  }

  /** Cancels the calls of a lost link: nobody waits for their answers. */
  handleLinkLoss(linkId: string): void {
    for (const call of this.#calls.listByLink(linkId)) {
      this.#cancel(call, "link lost");
    }
    this.#calls.removeLink(linkId);
    this.#callerServices.delete(linkId);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#client?.[Symbol.asyncDispose]();
  }

  /**
   * Fails calls well past their deadlines, so that a backend server that
   * never answers doesn't hold their slots forever. The deadline was sent with
   * the request, so the backend server should have stopped work by then.
   */
  #failOverdue(): void {
    const cutoffMs = this.#options.readClock() - ANSWER_GRACE_MS;
    for (const call of [...this.#calls.list()]) {
      if (call.deadlineMs < cutoffMs) {
        call.exchange?.abort();
        this.#fail(call, "expired", "no answer at the deadline");
      }
    }
  }

  /**
   * Aborts and returns the running calls after a new process instance replaced
   * the backend server at its address. Their runs ended with the former
   * instance, even if its connections only went silent, so that callers needn't
   * wait for the deadline.
   */
  #abortRunning(): readonly GateCallState[] {
    const running = this.#listRunning();
    running.forEach((call) => call.exchange?.abort());
    this.#client?.[Symbol.asyncDispose]();
    this.#client = undefined;
    return running;
  }

  /** Refuses the calls for other services that have not been handed over. */
  #refuseOtherServices(service: string): void {
    [...this.#calls.list()].filter(({ opened }) => opened.service !== service)
      .forEach((call) => this.#recall(call, "other_service"));
  }

  #listRunning(): readonly GateCallState[] {
    return [...this.#calls.list()].filter(({ phase }) => phase === "running");
  }

  /** Fails a call whose connection broke, or whose backend server ended. */
  #failEnded(call: GateCallState, { reason, ended }: EndedCall): void {
    if (!this.#calls.has(call.id)) {
      return;
    }
    call.exchange?.abort();
    this.#fail(call, "unknown", reason, { ended });
  }

  #openCall(arrival: {
    readonly linkId: string;
    readonly opened: CallOpened;
    readonly send: SendFrame;
    readonly delayMs: number;
  }): void {
    const { linkId, opened, send, delayMs } = arrival;
    const arrivedAtMs = this.#options.readClock() - delayMs;
    const call: GateCallState = {
      id: this.#nextId++,
      opened,
      body: new BodyCollector(opened.bodyBytes, opened.body),
      deadlineMs: opened.deadlineMs,
      arrivedAtMs,
      transitDelayMs: delayMs,
      send,
      linkId,
      phase: "receiving",
      startedAtMs: 0,
      exchange: undefined,
    };
    this.#calls.add(call);
    this.#crashes.receiveEvidence(call);
    const callerService = this.#callerServices.get(linkId);
    if (callerService !== undefined) {
      this.#options.recordArrival(opened.route, callerService);
    }
    const service = this.#gate.backend?.service;
    if (service !== undefined && service !== opened.service) {
      this.#fail(call, "refused", "other_service");
    } else if (this.#calls.isOverBodyLimit(opened.bodyBytes)) {
      this.#fail(call, "refused", "memory");
    } else if (call.body.isComplete) {
      this.#admitAfterMessage(call);
    }
  }

  /** Admits a call whose body is complete, but not while a message is read. */
  #admitAfterMessage(call: GateCallState): void {
    if (this.#isReadingMessage) {
      this.#callsToAdmit.push(call);
    } else {
      this.#admit(call);
    }
  }

  #admit(call: GateCallState): void {
    if (this.#refuseIfDraining(call)) {
      return;
    }
    const { id, opened, arrivedAtMs, deadlineMs } = call;
    const { route, rank, isNested } = opened;
    call.phase = "waiting";
    const admitted = {
      id,
      route,
      rank,
      isNested,
      arrivedAtMs,
      dueAtMs: Math.min(
        deadlineMs,
        arrivedAtMs + this.#options.getObjectiveMs(route),
      ),
      deadlineMs,
    };
    this.#step({ type: "CallArrived", call: admitted });
  }

  #step(event: GateEvent): void {
    const effects = reduceGate(this.#gate, event, this.#options.readClock());
    effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: GateEffect): void {
    if (effect.type === "NoticeChanged") {
      this.#statements.reportNotice(effect);
      return;
    }
    const call = this.#calls.get(effect.id);
    if (call === undefined) {
      return;
    }
    switch (effect.type) {
      case "RunCall":
        this.#statements.countLimited(
          effect.wasQueued ? "waited" : "handed_over",
        );
        this.#runAfterBacklogRead(call);
        return;
      case "RefuseCall":
        if (effect.reason === "rate_limit") {
          this.#statements.countLimited("refused");
        }
        this.#fail(call, "refused", effect.reason, {
          retryAfterMs: effect.retryAfterMs,
        });
        return;
    }
  }

  /**
   * Runs an admitted call once the event loop has caught up. A process that lags
   * reads a call before its cancellation, and would run it for a caller that has
   * left.
   */
  #runAfterBacklogRead(call: GateCallState): void {
    call.phase = "admitted";
    this.#options.loop.runAfterPendingReads(() => {
      if (this.#calls.has(call.id)) {
        this.#runOrRefuse(call);
      }
    });
  }

  /**
   * Runs an admitted call; refuses it if the backend server is gone, draining
   * or of another service by now, or the deadline has passed.
   */
  #runOrRefuse(call: GateCallState): void {
    const { backend } = this.#gate;
    if (backend === undefined) {
      this.#fail(call, "refused", "no_backend");
    } else if (backend.service !== call.opened.service) {
      this.#fail(call, "refused", "other_service");
    } else if (backend.isDraining) {
      this.#fail(call, "refused", "draining");
    } else if (call.deadlineMs <= this.#options.readClock()) {
      this.#fail(call, "refused", "deadline");
    } else if (!this.#refuseIfDraining(call)) {
      this.#takeTurn(call, backend);
    }
  }

  /** Refuses a call that the drain of this node would cut, and tells so. */
  #refuseIfDraining(call: GateCallState): boolean {
    const { getDrainTimes, readClock } = this.#options;
    const decision = decideHandover(call.deadlineMs, {
      times: getDrainTimes(),
      nowMs: readClock(),
    });
    if (decision.type === "HandOver") {
      return false;
    }
    const { retryAfterMs } = decision;
    this.#fail(call, "refused", "draining", { retryAfterMs });
    return true;
  }

  /** Runs a call, unless it is suspected of ending backend servers. */
  #takeTurn(call: GateCallState, backend: LocalBackend): void {
    const turn = this.#crashes.requestTurn(call, backend.service);
    switch (turn.type) {
      case "Run":
        this.#run(call, backend);
        return;
      case "Wait":
        return;
      case "Refuse": {
        const { reason, retryAfterMs } = turn;
        this.#fail(call, "refused", reason, { retryAfterMs });
        return;
      }
    }
  }

  /** Lets the suspects that wait take their turns. */
  #continueSuspects(): void {
    for (
      let id = this.#crashes.takeNext();
      id !== undefined;
      id = this.#crashes.takeNext()
    ) {
      const call = this.#calls.get(id);
      if (call !== undefined) {
        this.#runOrRefuse(call);
      }
    }
  }

  #run(call: GateCallState, backend: LocalBackend): void {
    const { dialect, readClock, log, loop } = this.#options;
    const nowMs = readClock();
    call.phase = "running";
    call.startedAtMs = nowMs;
    this.#options.recordRun(call.opened, 1);
    const { method, target } = call.opened;
    log.write(createHandedOverLine(call, { nowMs, lagMs: loop.lagMs }));
    const headers = dialect.createBackendHeaders({
      headers: call.opened.headers,
      timeLeftMs: call.deadlineMs - nowMs,
      instanceId: backend.instanceId,
    });
    const request = { method, target, headers, body: call.body.join() };
    call.exchange = this.#getClient(backend.address).send({
      request,
      checkStart: () => call.deadlineMs <= readClock() ? "deadline" : undefined,
      checkHead: (head) => this.#checkHead(head, call, backend),
      onEnd: (result) => this.#finish(call, result),
    });
  }

  /**
   * Returns why an answer is not a valid one to the request, or undefined.
   * Records what a valid one says of the backend server that it was sent to.
   */
  #checkHead(
    head: BackendHead,
    call: GateCallState,
    backend: LocalBackend,
  ): string | undefined {
    const { status, headers } = head;
    const { requestId } = call.opened;
    const { validateAnswer } = this.#options.dialect;
    const validation = validateAnswer({ status, headers, requestId });
    switch (validation.type) {
      case "Foreign":
        return validation.reason;
      case "WrongInstance":
        return undefined;
      case "Answered":
      case "NotRun":
        this.#statements.recordStatement(head, call, backend);
        return undefined;
    }
  }

  #finish(call: GateCallState, result: BackendResult): void {
    if (!this.#calls.has(call.id)) {
      return;
    }
    switch (result.type) {
      case "Whole":
        this.#sendAnswer(call, result.head, result.body);
        return;
      case "Withheld":
        this.#fail(call, "refused", result.reason);
        return;
      case "NotSent":
        this.#options.onBackendLost();
        this.#fail(call, "refused", result.reason);
        return;
      case "Broken":
        this.#crashes.holdFailure(call, result.reason);
        return;
    }
  }

  #sendAnswer(call: GateCallState, head: BackendHead, body: Uint8Array): void {
    const { dialect, readClock, loop, isLeaf } = this.#options;
    const { status, headers, rawHeaders } = head;
    const { requestId } = call.opened;
    const validation = dialect.validateAnswer({ status, headers, requestId });
    switch (validation.type) {
      case "NotRun":
        this.#fail(call, "rejected", validation.reason);
        return;
      case "WrongInstance":
        this.#options.onBackendLost();
        this.#fail(call, "refused", "wrong_instance");
        return;
      case "Foreign":
        this.#fail(call, "unknown", validation.reason);
        return;
      case "Answered":
        break;
    }
    this.#crashes.recordAnswer(call, status);
    // Failures may be immediate, and would lower the estimated service time.
    const isFailure = status >= 500;
    const serviceMs = isFailure ? undefined : readClock() - call.startedAtMs;
    this.#end(call, {
      serviceMs,
      readLagMs: loop.lagMs,
      isLost: false,
      isRejected: false,
      // An error of a service that makes calls may come from further downstream.
      isFailure: isFailure && isLeaf(),
    });
    const opened: AnswerOpened = {
      type: "AnswerOpened",
      call: call.opened.call,
      status,
      headers: dialect.createAnswerHeaders(rawHeaders),
      load: this.readLoad(),
      bodyBytes: body.length,
      body: cutFirstPart(body),
    };
    call.send(opened);
    for (const bytes of listFurtherParts(body)) {
      call.send({ type: "BodyPart", call: call.opened.call, bytes });
    }
  }

  #fail(
    call: GateCallState,
    kind: FailureKind,
    reason: string,
    {
      retryAfterMs = computeRetryAfterMs(
        this.#gate,
        this.#options.readClock(),
      ),
      ended,
    }: {
      readonly retryAfterMs?: number;
      readonly ended?: EvidencedEnd | undefined;
    } = {},
  ): void {
    // Only expired calls indicate overload: refusing more calls doesn't help if
    // the backend server rejects them for its own reasons or closes connections.
    const isRejected = kind === "rejected";
    const isLost = kind === "expired";
    const isFailure = isRejected || kind === "unknown" ? true : undefined;
    this.#end(call, { serviceMs: undefined, isLost, isRejected, isFailure });
    const failed: CallFailed = {
      type: "CallFailed",
      call: call.opened.call,
      kind,
      reason,
      retryAfterMs,
      load: this.readLoad(),
      ended,
    };
    const { load } = failed;
    const nowMs = this.#options.readClock();
    const line = createFailedLine(call, { kind, reason, load, nowMs });
    this.#options.log.write(line);
    call.send(failed);
  }

  /** Refuses a call unless the backend server may have received bytes of it. */
  #recall(call: GateCallState, reason: string): void {
    if (call.exchange?.hasStartedSending === true) {
      return;
    }
    call.exchange?.abort();
    if (call.phase === "waiting") {
      this.#step({ type: "CallWithdrawn", id: call.id });
    }
    this.#fail(call, "refused", reason);
  }

  /**
   * Cancels a call whose caller has left. A non-idempotent call that has begun
   * is left to end, because aborting it would leave unknown whether it ran. A
   * call that waits for a connection has not begun.
   */
  #cancel(call: GateCallState, reason: string): void {
    const wasRunning = call.exchange?.hasStartedSending ?? false;
    if (wasRunning && !call.opened.isIdempotent) {
      return;
    }
    call.exchange?.abort();
    if (call.phase === "waiting") {
      this.#step({ type: "CallWithdrawn", id: call.id });
    }
    this.#end(call, {
      serviceMs: undefined,
      isLost: true,
      isRejected: false,
      isFailure: undefined,
    });
    this.#options.log.write(createCancelledLine(call, { reason, wasRunning }));
  }

  #end(
    call: GateCallState,
    ended: Pick<
      Extract<GateEvent, { type: "CallEnded" }>,
      "serviceMs" | "readLagMs" | "isLost" | "isRejected" | "isFailure"
    >,
  ): void {
    const { id, phase, opened } = call;
    this.#calls.remove(call);
    this.#crashes.leave(call);
    if (phase === "running") {
      this.#options.recordRun(opened, -1);
    }
    if (phase === "running" || phase === "admitted") {
      const wasSent = call.exchange?.hasStartedSending ?? false;
      const { route } = opened;
      this.#step({ type: "CallEnded", id, route, wasSent, ...ended });
    }
    this.#continueSuspects();
  }

  #getClient(address: IpEndpoint): BackendClient {
    const client = this.#client;
    if (client !== undefined && isSameEndpoint(client.address, address)) {
      return client;
    }
    client?.[Symbol.asyncDispose]();
    const { memory, maxConnections } = this.#options;
    this.#client = new BackendClient(address, {
      connections: Math.max(1, maxConnections()),
      maxHeldBytes: memory.backendAnswers,
    });
    return this.#client;
  }
}

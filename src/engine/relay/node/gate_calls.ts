/** Carries out at the backend server's node what the gate decides. */
import type {
  AnswerOpened,
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
import type { CallLoop } from "../../../base/common/call_loop.ts";
import type { CallDialect } from "../common/dialect.ts";
import { GateCallIndex } from "../common/gate_call_index.ts";
import type { GateCallState, SendFrame } from "../common/gate_call_index.ts";
import {
  computeRetryAfterMs,
  createGate,
  createLoadFigures,
  isSameProcessInstance,
  reduceGate,
} from "../common/gate.ts";
import type { GateEffect, GateEvent, LocalBackend } from "../common/gate.ts";
import {
  createCancelledLine,
  createFailedLine,
  createHandedOverLine,
} from "../common/gate_lines.ts";
import { GateLoadLog } from "../common/gate_load_log.ts";
import type { RelayLog } from "../common/relay_log.ts";
import type { BackendRun } from "../common/repeated_runs.ts";
import { BackendClient } from "./backend_client.ts";
import type { BackendHead, BackendResult } from "./backend_client.ts";

/** What the gate's calls are built from. */
export interface GateCallsOptions {
  readonly dialect: CallDialect;
  readonly readClock: () => number;
  readonly log: RelayLog;
  readonly loop: CallLoop;
  /** Most connections that the backend server takes. */
  readonly maxConnections: () => number;
  /** Latency within which an answer of a route has its full value. */
  readonly getObjectiveMs: (route: string) => number;
  /** A run begins (1) or ends (-1) at the backend server. */
  readonly noteRun: (run: BackendRun, change: 1 | -1) => void;
  /** A call of a route came that began on a VM of a service. */
  readonly noteArrival: (route: string, callerService: string) => void;
  /** The backend server refused connections: it may have ended. */
  readonly onBackendLost: () => void;
}

/** How long after its deadline a call without an answer is given up. */
const OVERDUE_MS = 1_000;

/** Calls of all callers for the one backend server beside this node. */
export class GateCalls implements AsyncDisposable {
  readonly #options: GateCallsOptions;
  readonly #gate = createGate();
  readonly #calls = new GateCallIndex();
  readonly #loadLog = new GateLoadLog();
  /** By link. */
  readonly #callerServices = new Map<string, string>();
  #client: BackendClient | undefined;
  /** The last one that was announced, also where it is silent now. */
  #lastBackend: LocalBackend | undefined;
  #nextId = 1;
  /** Whether more frames of the present message follow. */
  #isReading = false;
  /** Calls of the present message whose bodies are whole. */
  readonly #whole: GateCallState[] = [];

  constructor(options: GateCallsOptions) {
    this.#options = options;
  }

  /** Calls that are not ended. */
  get openCount(): number {
    return this.#calls.size;
  }

  /** The backend server as last announced. */
  get backend(): LocalBackend | undefined {
    return this.#gate.backend;
  }

  /** Reads the load for those who choose. */
  readLoad(): LoadFigures {
    return createLoadFigures(this.#gate);
  }

  /** Whether calls of a link are in progress. */
  hasCalls(source: string): boolean {
    return this.#calls.hasCallsOfLink(source);
  }

  /** Takes what the backend server announces of itself. */
  changeBackend(backend: LocalBackend | undefined): void {
    const before = this.#gate.backend ?? this.#lastBackend;
    this.#lastBackend = backend ?? before;
    const isReplaced = before !== undefined && backend !== undefined &&
      before.address === backend.address &&
      !isSameProcessInstance(before, backend);
    const former = isReplaced ? this.#takeRunning() : [];
    this.#step({ type: "BackendChanged", backend });
    former.forEach((call) => this.#fail(call, "unknown", "backend_restarted"));
  }

  /** Lets time pass at the gate. */
  tick(): void {
    this.#step({ type: "Ticked" });
    this.#endOverdue();
    const { log, readClock } = this.#options;
    const line = this.#loadLog.sample(this.#gate, readClock());
    if (line !== undefined) {
      log.write(line);
    }
  }

  /**
   * Takes the frames of one message of a caller, which may have been on its way
   * longer than usual. Nothing is handed over before all are read: where a
   * process was behind, a call and its withdrawal come together.
   */
  receiveAll(
    source: string,
    frames: readonly MeshFrame[],
    way: { readonly send: SendFrame; readonly delayMs?: number },
  ): void {
    this.#isReading = true;
    frames.forEach((frame) =>
      this.receive(source, frame, way.send, way.delayMs)
    );
    this.#isReading = false;
    this.#whole.splice(0)
      .filter(({ id }) => this.#calls.has(id))
      .forEach((call) => this.#admit(call));
  }

  /** Takes a frame of a caller, which was on its way longer than usual. */
  receive(
    source: string,
    frame: MeshFrame,
    send: SendFrame,
    delayMs = 0,
  ): void {
    switch (frame.type) {
      case "CallOpened":
        this.#open({ source, opened: frame, send, delayMs });
        return;
      case "BodyPart": {
        const call = this.#calls.findByLink(source, frame.call);
        call?.body.add(frame.bytes);
        if (call?.phase === "receiving" && call.body.isWhole) {
          this.#admitOnceRead(call);
        }
        return;
      }
      case "CallCancelled": {
        const call = this.#calls.findByLink(source, frame.call);
        if (call !== undefined) {
          this.#cancel(call, "caller left");
        }
        return;
      }
      case "CallerIntroduced":
        this.#callerServices.set(source, frame.service);
        return;
      case "AnswerOpened":
      case "CallFailed":
      case "LoadReported":
        return;
    }
  }

  /** A link is gone: nobody waits for its calls any more. */
  loseSource(source: string): void {
    for (const call of this.#calls.listByLink(source)) {
      this.#cancel(call, "link lost");
    }
    this.#calls.removeLink(source);
    this.#callerServices.delete(source);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#client?.[Symbol.asyncDispose]();
  }

  /**
   * A backend server that never answers must not keep its place for ever; it
   * was told the deadline and has stopped work by then.
   */
  #endOverdue(): void {
    const dueMs = this.#options.readClock() - OVERDUE_MS;
    for (const call of [...this.#calls.list()]) {
      if (call.deadlineMs < dueMs) {
        call.exchange?.abort();
        this.#fail(call, "expired", "no answer at the deadline");
      }
    }
  }

  /**
   * Takes what runs off a backend server whose place another life has taken.
   * It was lost with the former one, also where its connections only went
   * silent: callers needn't wait for the deadline.
   */
  #takeRunning(): readonly GateCallState[] {
    const running = [...this.#calls.list()]
      .filter(({ phase }) => phase === "running");
    running.forEach((call) => call.exchange?.abort());
    this.#client?.[Symbol.asyncDispose]();
    this.#client = undefined;
    return running;
  }

  #open(arrival: {
    readonly source: string;
    readonly opened: CallOpened;
    readonly send: SendFrame;
    readonly delayMs: number;
  }): void {
    const { source, opened, send, delayMs } = arrival;
    const arrivedAtMs = this.#options.readClock() - delayMs;
    const call: GateCallState = {
      id: this.#nextId++,
      opened,
      body: new BodyCollector(opened.bodyBytes, opened.body),
      deadlineMs: opened.deadlineMs,
      arrivedAtMs,
      transitDelayMs: delayMs,
      send,
      linkId: source,
      phase: "receiving",
      startedAtMs: 0,
      exchange: undefined,
    };
    this.#calls.add(call);
    const callerService = this.#callerServices.get(source);
    if (callerService !== undefined) {
      this.#options.noteArrival(opened.route, callerService);
    }
    const service = this.#gate.backend?.service;
    if (service !== undefined && service !== opened.service) {
      this.#fail(call, "refused", "other_service");
    } else if (this.#calls.isOverBodyLimit(opened.bodyBytes)) {
      this.#fail(call, "refused", "memory");
    } else if (call.body.isWhole) {
      this.#admitOnceRead(call);
    }
  }

  #admitOnceRead(call: GateCallState): void {
    if (this.#isReading) {
      this.#whole.push(call);
    } else {
      this.#admit(call);
    }
  }

  #admit(call: GateCallState): void {
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
    const call = this.#calls.get(effect.id);
    if (call === undefined) {
      return;
    }
    switch (effect.type) {
      case "RunCall":
        this.#runOnceRead(call);
        return;
      case "RefuseCall":
        this.#fail(call, "refused", effect.reason, effect.retryAfterMs);
        return;
    }
  }

  /**
   * A process that is behind reads a call before its withdrawal, and would run
   * it for a caller that has left.
   */
  #runOnceRead(call: GateCallState): void {
    call.phase = "admitted";
    this.#options.loop.runOnceRead(() => {
      if (this.#calls.has(call.id)) {
        this.#runOrRefuse(call);
      }
    });
  }

  /** The backend server may have left, and the deadline passed, by now. */
  #runOrRefuse(call: GateCallState): void {
    const { backend } = this.#gate;
    if (backend === undefined) {
      this.#fail(call, "refused", "no_backend");
    } else if (backend.isDraining) {
      this.#fail(call, "refused", "draining");
    } else if (call.deadlineMs <= this.#options.readClock()) {
      this.#fail(call, "refused", "deadline");
    } else {
      this.#run(call, backend);
    }
  }

  #run(call: GateCallState, backend: LocalBackend): void {
    const { dialect, readClock, log, loop } = this.#options;
    const nowMs = readClock();
    call.phase = "running";
    call.startedAtMs = nowMs;
    this.#options.noteRun(call.opened, 1);
    const { method, target, requestId } = call.opened;
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
      checkHead: (head) => this.#checkHead(head, requestId),
      onEnd: (result) => this.#finish(call, result),
    });
  }

  /** An answer that isn't this request's must not be read to its end. */
  #checkHead(head: BackendHead, requestId: string): string | undefined {
    const { status, headers } = head;
    const { validateAnswer: judgeAnswer } = this.#options.dialect;
    const judgement = judgeAnswer({ status, headers, requestId });
    return judgement.type === "Foreign" ? judgement.reason : undefined;
  }

  #finish(call: GateCallState, result: BackendResult): void {
    if (!this.#calls.has(call.id)) {
      return;
    }
    switch (result.type) {
      case "Whole":
        this.#answer(call, result.head, result.body);
        return;
      case "Withheld":
        this.#fail(call, "refused", result.reason);
        return;
      case "NotSent":
        this.#options.onBackendLost();
        this.#fail(call, "refused", result.reason);
        return;
      case "Broken":
        this.#fail(call, "unknown", result.reason);
        return;
    }
  }

  #answer(call: GateCallState, head: BackendHead, body: Uint8Array): void {
    const { dialect, readClock } = this.#options;
    const { status, headers, rawHeaders } = head;
    const { requestId } = call.opened;
    const judgement = dialect.validateAnswer({ status, headers, requestId });
    switch (judgement.type) {
      case "NotRun":
        this.#fail(call, "rejected", judgement.reason);
        return;
      case "WrongInstance":
        this.#options.onBackendLost();
        this.#fail(call, "refused", "wrong_instance");
        return;
      case "Foreign":
        this.#fail(call, "unknown", judgement.reason);
        return;
      case "Answered":
        break;
    }
    // A backend server that fails at once is not a fast one.
    const isFailure = status >= 500;
    const serviceMs = isFailure ? undefined : readClock() - call.startedAtMs;
    this.#end(call, { serviceMs, isLost: false, isRejected: false });
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
    retryAfterMs = computeRetryAfterMs(this.#gate),
  ): void {
    // Refusing more would not help where the backend server rejects at will, or
    // breaks off: time that runs out is what tells of too much work.
    const isRejected = kind === "rejected";
    const isLost = kind === "expired";
    this.#end(call, { serviceMs: undefined, isLost, isRejected });
    const failed: CallFailed = {
      type: "CallFailed",
      call: call.opened.call,
      kind,
      reason,
      retryAfterMs,
      load: this.readLoad(),
    };
    const { load } = failed;
    const nowMs = this.#options.readClock();
    const line = createFailedLine(call, { kind, reason, load, nowMs });
    this.#options.log.write(line);
    call.send(failed);
  }

  /**
   * Work that may be repeated stops with its caller. Work that may not is
   * left to end, once it has begun: breaking it off would leave open whether it
   * ran. A call that waits for a connection has not begun.
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
    });
    this.#options.log.write(createCancelledLine(call, { reason, wasRunning }));
  }

  #end(
    call: GateCallState,
    ended: Pick<
      Extract<GateEvent, { type: "CallEnded" }>,
      "serviceMs" | "isLost" | "isRejected"
    >,
  ): void {
    const { id, phase, opened } = call;
    this.#calls.remove(call);
    if (phase === "running") {
      this.#options.noteRun(opened, -1);
    }
    if (phase === "running" || phase === "admitted") {
      this.#step({ type: "CallEnded", id, route: opened.route, ...ended });
    }
  }

  #getClient(address: string): BackendClient {
    if (this.#client?.address !== address) {
      this.#client?.[Symbol.asyncDispose]();
      const connections = Math.max(1, this.#options.maxConnections());
      this.#client = new BackendClient(address, connections);
    }
    return this.#client;
  }
}

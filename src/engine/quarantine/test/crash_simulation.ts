/**
 * Simulates one service with a request that ends its backend servers, ends from
 * outside, and innocent requests, under different ways to find the guilty one.
 */
import { createRandom } from "../../../base/test/seeded_random.ts";
import { hashText } from "../../../base/common/hash.ts";
import { CrashKnowledge } from "../common/crash_knowledge.ts";
import { SuspectLane } from "../common/suspect_lane.ts";
import { computeRequestDigest } from "../node/request_digest.ts";

/** How the guilty request is found. */
export type SearchPolicy =
  /** What was part of two ends, without an answer between, is guilty. */
  | "intersection"
  /** Suspects run one after the other at each backend server. */
  | "lane";

/** Parameters of a simulation. */
export interface CrashSimulationOptions {
  readonly policy: SearchPolicy;
  readonly seed: number;
  /** Innocent requests a second; half of them of eight targets. */
  readonly perSecond: number;
  readonly serviceTimeMs: number;
  /** Copies of the guilty request that come at once. */
  readonly copies: number;
  /** Time between ends from outside; undefined for none. */
  readonly endEveryMs: number | undefined;
  /** Share of the runs of the guilty request that end a server; default: all. */
  readonly endingShare?: number;
}

/** What became of the requests. */
export interface CrashSimulationResult {
  /** Backend servers that the guilty request ended. */
  readonly guiltyEnds: number;
  /** Innocent requests that were refused as guilty. */
  readonly refusedInnocents: number;
  /** Innocent requests that got no answer. */
  readonly unserved: number;
  readonly innocents: number;
  /** Longest wait of an innocent one for its turn, in milliseconds. */
  readonly longestWaitMs: number;
}

interface Run {
  readonly id: number;
  readonly target: string;
  readonly isGuilty: boolean;
  /** Whether it ends its server. */
  isEnding: boolean;
  /** Attempts of this request so far. */
  readonly attempt: number;
  endsAtMs: number;
  readonly waitsFromMs: number;
}

interface Server {
  instance: number;
  upAtMs: number;
  runs: Run[];
  waiting: Run[];
  lane: SuspectLane;
}

const SERVICE = "s";
const SERVERS = 4;
const SLOTS = 24;
const DOWN_MS = 1_200;
const CRASH_MS = 80;
const LENGTH_MS = 10_000;
const GUILTY_EVERY_MS = 700;
/** Attempts at a request: that of the entry, and its retry. */
const ATTEMPTS = 2;
const GUILTY = "/guilty";

/** Runs a simulation of ten seconds, in steps of a millisecond. */
export function simulateCrashes(
  options: CrashSimulationOptions,
): CrashSimulationResult {
  return new CrashSimulation(options).run();
}

class CrashSimulation {
  readonly #options: CrashSimulationOptions;
  readonly #draw: () => number;
  readonly #knowledge: CrashKnowledge;
  readonly #servers: readonly Server[];
  #nowMs = 0;
  #nextId = 1;
  #guiltyEnds = 0;
  #refused = 0;
  #unserved = 0;
  #innocents = 0;
  #longestWaitMs = 0;

  constructor(options: CrashSimulationOptions) {
    this.#options = options;
    this.#draw = createRandom(options.seed);
    this.#knowledge = new CrashKnowledge({
      computeDigest: computeRequestDigest,
      readClock: () => this.#nowMs,
      onFound: () => {},
      onVerdictChanged: () => {},
    });
    this.#servers = Array.from({ length: SERVERS }, () => ({
      instance: 1,
      upAtMs: 0,
      runs: [],
      waiting: [],
      lane: new SuspectLane(),
    }));
  }

  run(): CrashSimulationResult {
    for (this.#nowMs = 1; this.#nowMs <= LENGTH_MS; this.#nowMs += 1) {
      this.#arrive();
      this.#servers.forEach((server) => this.#step(server));
    }
    return {
      guiltyEnds: this.#guiltyEnds,
      refusedInnocents: this.#refused,
      unserved: this.#unserved,
      innocents: this.#innocents,
      longestWaitMs: this.#longestWaitMs,
    };
  }

  #arrive(): void {
    const { perSecond, copies, endEveryMs } = this.#options;
    if (this.#draw() < perSecond / 1_000) {
      this.#innocents += 1;
      const target = this.#draw() < 0.5
        ? `/popular-${Math.floor(this.#draw() * 8)}`
        : `/single-${this.#nextId}`;
      this.#send(this.#createRun(target, 1));
    }
    if (this.#nowMs % GUILTY_EVERY_MS === 0) {
      for (let copy = 0; copy < copies; copy += 1) {
        this.#send(this.#createRun(GUILTY, 1));
      }
    }
    if (endEveryMs !== undefined && this.#nowMs % endEveryMs === 0) {
      const server = this.#servers[Math.floor(this.#draw() * SERVERS)]!;
      if (this.#isUp(server)) {
        this.#end(server);
      }
    }
  }

  #createRun(target: string, attempt: number): Run {
    return {
      id: this.#nextId++,
      target,
      isGuilty: target === GUILTY,
      isEnding: false,
      attempt,
      endsAtMs: 0,
      waitsFromMs: this.#nowMs,
    };
  }

  #send(run: Run): void {
    const verdict = this.#decide(run);
    if (verdict === "Quarantined") {
      this.#refused += run.isGuilty ? 0 : 1;
      return;
    }
    const open = this.#servers.filter((server) => this.#isUp(server));
    if (open.length === 0) {
      this.#unserved += run.isGuilty ? 0 : 1;
      return;
    }
    const isSuspect = verdict === "Suspect" && this.#options.policy === "lane";
    const server = isSuspect
      ? open[hashTarget(run.target) % open.length]!
      : open[Math.floor(this.#draw() * open.length)]!;
    if (isSuspect && !server.lane.tryEnter(run.id)) {
      server.lane.wait(run.id);
      server.waiting.push(run);
      return;
    }
    this.#begin(server, run);
  }

  #decide(run: Run): "Clear" | "Suspect" | "Quarantined" {
    const { verdict, evidence } = this.#knowledge
      .evaluate(SERVICE, createRequest(run.target));
    if (this.#options.policy === "lane") {
      return verdict.type;
    }
    const ends = Math.max(0, ...evidence.map(({ ends }) => ends.length));
    return ends >= 2 ? "Quarantined" : verdict.type;
  }

  #begin(server: Server, run: Run): void {
    if (server.runs.length >= SLOTS) {
      this.#unserved += run.isGuilty ? 0 : 1;
      server.lane.leave(run.id);
      return;
    }
    const { serviceTimeMs } = this.#options;
    run.endsAtMs = this.#nowMs + (run.isGuilty ? CRASH_MS : serviceTimeMs);
    const { endingShare } = this.#options;
    run.isEnding = run.isGuilty &&
      (endingShare === undefined || this.#draw() < endingShare);
    if (!run.isGuilty) {
      const waitedMs = this.#nowMs - run.waitsFromMs;
      this.#longestWaitMs = Math.max(this.#longestWaitMs, waitedMs);
    }
    server.runs.push(run);
  }

  #step(server: Server): void {
    const due = server.runs.filter(({ endsAtMs }) => endsAtMs <= this.#nowMs);
    if (due.some(({ isEnding }) => isEnding)) {
      this.#guiltyEnds += 1;
      this.#end(server);
      return;
    }
    server.runs = server.runs.filter((run) => !due.includes(run));
    for (const run of due) {
      this.#knowledge.recordAnswer(SERVICE, createRequest(run.target), {
        status: 200,
        isRequestSent: true,
        answeredBy: "",
        runMs: run.isGuilty ? CRASH_MS : this.#options.serviceTimeMs,
        timeLeftMs: Infinity,
      });
      server.lane.leave(run.id);
    }
    this.#continueLane(server);
  }

  #continueLane(server: Server): void {
    for (
      let id = server.lane.takeNext();
      id !== undefined;
      id = server.lane.takeNext()
    ) {
      const run = server.waiting.find((other) => other.id === id)!;
      server.waiting = server.waiting.filter((other) => other !== run);
      this.#send(run);
    }
  }

  #end(server: Server): void {
    const { lane } = server;
    const instance = `${this.#servers.indexOf(server)} ${server.instance}`;
    this.#knowledge.recordEnd(
      SERVICE,
      instance,
      server.runs.map((run) => ({
        request: createRequest(run.target),
        isOnlySuspect: this.#options.policy === "lane" &&
          lane.running === run.id,
      })),
    );
    const failed = [...server.runs];
    const waiting = [...server.waiting];
    Object.assign(server, {
      instance: server.instance + 1,
      upAtMs: this.#nowMs + DOWN_MS,
      runs: [],
      waiting: [],
      lane: new SuspectLane(),
    });
    failed.forEach((run) => this.#retry(run));
    waiting.forEach((run) => this.#send(run));
  }

  #retry(run: Run): void {
    if (run.attempt < ATTEMPTS) {
      this.#send({ ...run, id: this.#nextId++, attempt: run.attempt + 1 });
    } else {
      this.#unserved += run.isGuilty ? 0 : 1;
    }
  }

  #isUp({ upAtMs }: Server): boolean {
    return upAtMs <= this.#nowMs;
  }
}

function createRequest(target: string) {
  return {
    method: "GET",
    host: "",
    target,
    body: new Uint8Array(),
    callerService: "",
  };
}

function hashTarget(target: string): number {
  return hashText(target);
}

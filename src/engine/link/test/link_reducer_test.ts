/** Selection of the replica of a link: failover, backoff and return. */
import { expect } from "chai";
import { LINK_TIMEOUT_MS } from "../common/link_messages.ts";
import {
  createLink,
  MAX_BACKOFF_MS,
  MIN_RETURN_MS,
  MIN_UNCONFIRMED_MS,
  reduceLink,
} from "../common/link_reducer.ts";
import type {
  LinkEvent,
  LinkState,
  LinkTiming,
} from "../common/link_reducer.ts";

const TICK_MS = 100;

/** Runs one link over simulated replicas with faults set by the test. */
class LinkRun {
  nowMs = 1_000_000;
  state: LinkState;
  /** Replicas that accept links; the others refuse them. */
  readonly alive = new Set<string>();
  /** Replicas without a quorum. */
  readonly unconfirmed = new Set<string>();
  /** Replicas that accept links but send no messages. */
  readonly silent = new Set<string>();
  /** Replicas that neither accept nor refuse links. */
  readonly unreachable = new Set<string>();
  readonly opened: string[] = [];
  readonly openedAtMs: number[] = [];
  #linked: string | undefined;

  constructor(id: string, replicas: readonly string[], pace?: LinkTiming) {
    this.state = createLink(id, replicas, pace);
    replicas.forEach((replica) => this.alive.add(replica));
  }

  get replica(): string | undefined {
    return this.#linked;
  }

  kill(replica: string): void {
    this.alive.delete(replica);
    if (this.#linked === replica) {
      this.#close();
    }
  }

  advance(ms: number): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs;) {
      this.nowMs += TICK_MS;
      if (this.#linked !== undefined && !this.silent.has(this.#linked)) {
        const isConfirmed = !this.unconfirmed.has(this.#linked);
        const { linkNumber } = this.state;
        this.#dispatch({ type: "MessageReceived", linkNumber, isConfirmed });
      }
      this.#dispatch({ type: "Ticked" });
    }
  }

  #close(): void {
    this.#linked = undefined;
    const { linkNumber } = this.state;
    this.#dispatch({ type: "LinkClosed", linkNumber });
  }

  #dispatch(event: LinkEvent): void {
    const step = reduceLink(this.state, event, this.nowMs);
    this.state = step.state;
    for (const effect of step.effects) {
      if (effect.type === "CloseLink") {
        this.#linked = undefined;
        continue;
      }
      this.opened.push(effect.replica);
      this.openedAtMs.push(this.nowMs);
      const { linkNumber } = effect;
      if (this.unreachable.has(effect.replica)) {
        continue;
      }
      if (this.alive.has(effect.replica)) {
        this.#linked = effect.replica;
        this.#dispatch({ type: "LinkOpened", linkNumber });
      } else {
        this.#dispatch({ type: "LinkClosed", linkNumber });
      }
    }
  }
}

describe("link to a control replica", () => {
  it("opens to the nearest replica", () => {
    const run = new LinkRun("n1", ["a", "b", "c"]);
    run.advance(1_000);
    expect(run.replica).to.equal("a");
  });

  it("fails over to the next replica when its replica crashes", () => {
    const run = new LinkRun("n1", ["a", "b", "c"]);
    run.advance(1_000);
    run.kill("a");
    run.advance(1_000);
    expect(run.opened).to.deep.equal(["a", "b"]);
  });

  it("fails over when its replica sends no messages", () => {
    const run = new LinkRun("n1", ["a", "b"]);
    run.advance(1_000);
    run.silent.add("a");
    run.advance(LINK_TIMEOUT_MS + 1_000);
    expect(run.replica).to.equal("b");
  });

  it("fails over to the nearest available replica", () => {
    const run = new LinkRun("n1", ["a", "b", "c"]);
    run.kill("a");
    run.kill("b");
    run.advance(2_000);
    expect(run.replica).to.equal("c");
    run.alive.add("a");
    run.kill("c");
    run.advance(2_000);
    expect(run.replica).to.equal("a");
  });

  it("leaves a replica without a quorum for one with a quorum", () => {
    const run = new LinkRun("n1", ["a", "b"]);
    run.unconfirmed.add("a");
    run.advance(MIN_UNCONFIRMED_MS + 1_000);
    expect(run.replica).to.equal("b");
    run.advance(MIN_RETURN_MS / 2);
    expect(run.opened).to.deep.equal(["a", "b"]);
  });

  it("changes replicas at growing intervals while none has a quorum", () => {
    const run = new LinkRun("n1", ["a", "b"]);
    run.unconfirmed.add("a").add("b");
    run.advance(600_000);
    expect(run.opened.length).to.be.lessThan(10);
  });

  it("backs off up to a limit while no replica is available, with jitter by id", () => {
    const times = ["n1", "n2"].map((id) => {
      const run = new LinkRun(id, ["a", "b"]);
      run.alive.clear();
      run.advance(60_000);
      const gaps = run.openedAtMs.slice(1)
        .map((atMs, index) => atMs - run.openedAtMs[index]!);
      expect(Math.max(...gaps)).to.be.at.most(MAX_BACKOFF_MS + TICK_MS);
      expect(run.opened.length).to.be.lessThan(40);
      return run.openedAtMs;
    });
    expect(times[0]).to.not.deep.equal(times[1]);
  });

  it("returns to the nearest replica after the return interval", () => {
    const run = new LinkRun("n1", ["a", "b"]);
    run.advance(1_000);
    run.kill("a");
    run.advance(1_000);
    run.alive.add("a");
    run.advance(MIN_RETURN_MS * 2 + 1_000);
    expect(run.replica).to.equal("a");
  });

  it("ignores events of an earlier link", () => {
    const run = new LinkRun("n1", ["a", "b"]);
    run.advance(1_000);
    const before = run.state;
    const late: LinkEvent = { type: "LinkClosed", linkNumber: 0 };
    expect(reduceLink(before, late, run.nowMs).state).to.equal(before);
  });

  it("skips unreachable replicas within the limits of its timing", () => {
    const replicas = Array.from({ length: 15 }, (_, at) => `r${at}:1`);
    const behind = replicas.slice(0, 7);
    const run = new LinkRun("n1", replicas, {
      connectMs: 600,
      silenceMs: 1_500,
      maxBackoffMs: 250,
      unconfirmedMs: 300,
      maxUnconfirmedMs: 400,
    });
    behind.forEach((replica) => run.unreachable.add(replica));
    run.advance(behind.length * (600 + 250 + 2 * TICK_MS));
    expect(run.replica).to.equal("r7:1");
  });

  it("finds the side with a quorum soon, however long there was none", () => {
    const pace = {
      connectMs: 600,
      silenceMs: 1_500,
      maxBackoffMs: 250,
      unconfirmedMs: 300,
      maxUnconfirmedMs: 400,
    };
    const replicas = ["a:1", "b:1", "c:1", "d:1", "e:1"];
    const late = Array.from({ length: 100 }, (_, at) => `node-${at}`)
      .filter((id) => {
        const run = new LinkRun(id, replicas, pace);
        replicas.forEach((replica) => run.unconfirmed.add(replica));
        run.advance(5_000);
        ["c:1", "d:1", "e:1"].forEach((side) => run.unconfirmed.delete(side));
        run.advance(2_000);
        return run.replica === undefined || run.unconfirmed.has(run.replica);
      });
    expect(late).to.deep.equal([]);
  });
});

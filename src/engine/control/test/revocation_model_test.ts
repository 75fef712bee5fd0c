/**
 * Revocation under faults, by seeds: replicas in memory, nodes that ask them
 * for proofs, and callers that go on with keys that were taken away.
 */
import { expect } from "chai";
import process from "node:process";
import { createRandom } from "../../../base/test/seeded_random.ts";
import type { Random } from "../../../base/test/seeded_random.ts";
import { createAnnouncement } from "../../membership/test/replicas.ts";
import type { OutboundMessage } from "../../link/common/link_messages.ts";
import { DEFAULT_LIMITS } from "../../routes/common/route_table.ts";
import type { RouteTable } from "../../routes/common/route_table.ts";
import type { TableChange } from "../../table/common/table_reducer.ts";
import { KeyAccess } from "../../workspaces/common/key_access.ts";
import { Replicas } from "./replicas.ts";

const REVOKE_MS = 5_000;
const LEASE_MS = 4_900;
const IDS = ["a", "b", "c"];
const NODES = 3;
const RUN_MS = 40_000;
const TICK_MS = 50;
const HEARTBEAT_MS = 1_000;
/** An edit without an answer for so long has none to come. */
const EDIT_MS = 8_000;
const SEEDS = Number(process.env["REVOCATION_SEEDS"] ?? 20);

interface ModelOptions {
  readonly leaseMs: number | undefined;
  /** Whether nodes see the time that they were suspended for. */
  readonly seesSuspension: boolean;
}

const SOUND: ModelOptions = { leaseMs: LEASE_MS, seesSuspension: true };

/** A request on its way to a node. */
interface Sent {
  readonly key: string;
  readonly sentAtMs: number;
}

/** A node: its clocks, its link and what it holds. */
class ModelNode {
  readonly #options: ModelOptions;
  readonly #replicas: Replicas;
  readonly linkId: number;
  access: KeyAccess;
  version = 0;
  replica: string;
  suspendedMs = 0;
  steppedMs = 0;
  stillUntilMs = 0;
  readonly inbox: OutboundMessage[] = [];
  readonly unread: Sent[] = [];

  constructor(replicas: Replicas, linkId: number, options: ModelOptions) {
    this.#options = options;
    this.#replicas = replicas;
    this.linkId = linkId;
    this.replica = IDS[linkId % IDS.length]!;
    this.access = this.#createAccess();
  }

  get isStill(): boolean {
    return this.#replicas.nowMs < this.stillUntilMs;
  }

  /** Opens a link to a replica, and says what is held. */
  link(replica: string): void {
    this.replica = replica;
    this.inbox.length = 0;
    this.#replicas.dispatch(replica, {
      type: "LinkClosed",
      linkId: this.linkId,
    });
    this.#replicas.tell(replica, this.linkId, {
      type: "Announce",
      announcement: createAnnouncement(`n-${this.linkId}`),
      linkNumber: 1,
      tableVersion: 0,
      routesVersion: this.version,
    });
  }

  restart(): void {
    this.access = this.#createAccess();
    this.version = 0;
  }

  ask(): void {
    this.#replicas.tell(this.replica, this.linkId, {
      type: "Heartbeat",
      tableVersion: 0,
      routesVersion: this.version,
      proof: this.access.requestProof(),
    });
  }

  read(): void {
    for (const message of this.inbox.splice(0)) {
      if (message.type === "RoutesUpdate") {
        this.#takeRoutes(message.routes);
      } else if (
        message.type === "RoutesProved" &&
        this.version >= message.routesVersion
      ) {
        this.access.acceptProof(message.number);
      }
    }
  }

  get steadyMs(): number {
    return this.#replicas.nowMs - this.suspendedMs;
  }

  #takeRoutes(routes: RouteTable): void {
    if (routes.version > this.version) {
      this.version = routes.version;
      this.access.replaceWorkspaces(routes.workspaces ?? []);
    }
  }

  #createAccess(): KeyAccess {
    const { leaseMs, seesSuspension } = this.#options;
    return new KeyAccess({
      leaseMs,
      readClocks: () => {
        const { nowMs } = this.#replicas;
        const { steadyMs } = this;
        const wallMs = seesSuspension ? nowMs + this.steppedMs : steadyMs;
        return { steadyMs, wallMs };
      },
      computeDigest: (key) => key,
    });
  }
}

/** Replicas, nodes, an operator that takes keys away, and callers. */
class RevocationModel {
  readonly #random: Random;
  readonly #replicas = new Replicas(IDS);
  readonly #nodes: readonly ModelNode[];
  /** When a key was taken away and this was acknowledged. */
  readonly #revokedAtMs = new Map<string, number>();
  /** The newest configuration that the operator knows of. */
  #version = 0;
  #keys: readonly string[] = ["k0"];
  /** Keys by version, of all configurations that were sent. */
  readonly #sent = new Map<number, readonly string[]>();
  #request: number | undefined;
  #requestedAtMs = 0;
  readonly faults: string[] = [];
  granted = 0;
  asked = 0;

  constructor(seed: number, options: ModelOptions) {
    this.#random = createRandom(seed);
    IDS.forEach((id) => this.#replicas.start(id));
    this.#nodes = Array.from(
      { length: NODES },
      (_, at) => new ModelNode(this.#replicas, at + 1, options),
    );
    this.#replicas.onLink = (id, linkId, message) => {
      const node = this.#nodes[linkId - 1]!;
      if (node.replica === id) {
        node.inbox.push(message);
      }
    };
  }

  play(hasFaults = true): void {
    const { nowMs } = this.#replicas;
    this.#replicas.run(() => IDS.every((id) => this.#replicas.isConfirmed(id)));
    this.#nodes.forEach((node) => node.link(node.replica));
    const endMs = nowMs + RUN_MS;
    while (this.#replicas.nowMs < endMs) {
      this.#replicas.run(() => false, TICK_MS);
      this.#operate();
      if (hasFaults) {
        this.#break();
      }
      this.#nodes.forEach((node) => this.#step(node));
    }
  }

  /** One edit at a time: a new key comes and the oldest one goes. */
  #operate(): void {
    if (this.#request === undefined) {
      if (this.#random() < 0.03) {
        this.#startEdit();
      }
      return;
    }
    const result = this.#replicas.results.get(this.#request);
    if (result === undefined) {
      // A replica that was killed never answers; the edit may be accepted.
      const isOld = this.#replicas.nowMs - this.#requestedAtMs > EDIT_MS;
      this.#request = isOld ? undefined : this.#request;
      return;
    }
    this.#request = undefined;
    const outcome = result.type === "EditAnswered" ? result.outcome : undefined;
    if (outcome?.type === "EditAccepted") {
      const keys = this.#sent.get(outcome.version)!;
      this.#keys.filter((key) => !keys.includes(key)).forEach((key) =>
        this.#revokedAtMs.set(key, this.#replicas.nowMs)
      );
      this.#keys = keys;
      this.#version = outcome.version;
    } else if (outcome?.type === "RoutesConflicted") {
      // One without a clear answer was accepted; it was never acknowledged.
      this.#keys = this.#sent.get(outcome.version)!;
      this.#version = outcome.version;
    }
  }

  #startEdit(): void {
    const id = IDS.find((one) => this.#replicas.isRunning(one));
    if (id !== undefined) {
      const version = this.#sent.size + 1;
      const keys = [...this.#keys, `k${version}`].slice(-2);
      this.#sent.set(version, keys);
      const change = createChange(version, this.#version, keys);
      this.#requestedAtMs = this.#replicas.nowMs;
      this.#request = this.#replicas.edit(id, `e${version}`, change);
    }
  }

  #break(): void {
    const node = this.#pick(this.#nodes);
    const id = this.#pick(IDS);
    const draw = this.#random();
    if (draw < 0.01) {
      // Healed more often than cut: a quorum is there most of the time.
      this.#replicas.cut(id, this.#random() < 0.25);
    } else if (draw < 0.015) {
      this.#replicas.kill(id);
    } else if (draw < 0.03) {
      this.#revive(id);
    } else if (draw < 0.04) {
      // Suspended: the steady clock stands still, requests pile up.
      const ms = Math.floor(this.#random() * 9_000);
      node.stillUntilMs = this.#replicas.nowMs + ms;
      node.suspendedMs += ms;
    } else if (draw < 0.045) {
      node.stillUntilMs = this.#replicas.nowMs + this.#random() * 9_000;
    } else if (draw < 0.05) {
      node.restart();
      node.link(id);
    } else if (draw < 0.055) {
      node.steppedMs += Math.floor((this.#random() - 0.5) * 6_000);
    } else if (draw < 0.07) {
      node.link(id);
    }
  }

  #revive(id: string): void {
    if (!this.#replicas.isRunning(id)) {
      this.#replicas.start(id);
    }
  }

  #step(node: ModelNode): void {
    if (this.#random() < 0.3) {
      const known = [...this.#revokedAtMs.keys(), ...this.#keys];
      const sentAtMs = this.#replicas.nowMs;
      node.unread.push({ key: this.#pick(known), sentAtMs });
    }
    if (node.isStill) {
      return;
    }
    // A process that wakes may read requests before anything else.
    if (this.#random() < 0.5) {
      node.read();
    }
    node.unread.splice(0).forEach((sent) => this.#check(node, sent));
    if (this.#replicas.nowMs % HEARTBEAT_MS === 0) {
      node.ask();
    }
  }

  #check(node: ModelNode, { key, sentAtMs }: Sent): void {
    this.asked += 1;
    const access = node.access.check(key, node.steadyMs);
    const revokedAtMs = this.#revokedAtMs.get(key);
    if (access.type === "Granted") {
      this.granted += 1;
      if (revokedAtMs !== undefined && sentAtMs > revokedAtMs + REVOKE_MS) {
        this.faults.push(
          `${key} ran ${sentAtMs - revokedAtMs} ms after it was taken away`,
        );
      }
    }
  }

  #pick<T>(from: readonly T[]): T {
    return from[Math.floor(this.#random() * from.length)]!;
  }
}

function createChange(
  version: number,
  baseVersion: number,
  keys: readonly string[],
): TableChange {
  const table: RouteTable = {
    version,
    routes: [],
    limits: DEFAULT_LIMITS,
    workspaces: [{
      name: "mill",
      keyDigests: keys,
      rank: undefined,
      ratePerSecond: 0,
      burst: 0,
    }],
  };
  return {
    type: "ReplaceRoutes",
    baseVersion,
    document: { table, source: `source of ${version}` },
  };
}

function play(seed: number, options: ModelOptions): RevocationModel {
  const model = new RevocationModel(seed, options);
  model.play();
  return model;
}

function countFaults(options: ModelOptions): number {
  const seeds = Array.from({ length: SEEDS }, (_, at) => at + 1);
  return seeds.reduce(
    (sum, seed) => sum + play(seed, options).faults.length,
    0,
  );
}

describe("a revoked key", () => {
  it(`runs nothing after its time, whatever fails: ${SEEDS} seeds`, () => {
    let asked = 0;
    let granted = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const played = play(seed, SOUND);
      expect(played.faults, `seed ${seed}`).to.deep.equal([]);
      asked += played.asked;
      granted += played.granted;
    }
    // A quorum may be gone for most of one seed, but not of all of them.
    expect(granted).to.be.above(asked / 10);
  }).timeout(300_000);

  it("would run where nodes had no lease", () => {
    expect(countFaults({ ...SOUND, leaseMs: undefined })).to.be.above(0);
  }).timeout(300_000);

  it("would run where nodes didn't see that they were suspended", () => {
    expect(countFaults({ ...SOUND, seesSuspension: false })).to.be.above(0);
  }).timeout(300_000);

  it("costs no request where nothing fails", () => {
    const model = new RevocationModel(1, SOUND);
    model.play(false);
    expect(model.granted).to.be.above(50);
  });
});

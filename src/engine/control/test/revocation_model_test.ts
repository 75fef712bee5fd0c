/**
 * Model of key revocation under random faults: replicas in memory, nodes that
 * request proofs from them, and callers that continue to use revoked keys.
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

const MAX_REVOCATION_MS = 5_000;
const LEASE_MS = 4_900;
const IDS = ["a", "b", "c"];
const NODE_COUNT = 3;
const DURATION_MS = 40_000;
const TICK_MS = 50;
const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time after which an unanswered edit is abandoned. */
const EDIT_TIMEOUT_MS = 8_000;
const SEED_COUNT = Number(process.env["REVOCATION_SEEDS"] ?? 20);

interface ModelOptions {
  readonly leaseMs: number | undefined;
  /** Whether the wall clock lets nodes detect that they were suspended. */
  readonly detectsSuspension: boolean;
}

const CORRECT_OPTIONS: ModelOptions = {
  leaseMs: LEASE_MS,
  detectsSuspension: true,
};

/** A request that was sent to a node and not yet checked. */
interface SentRequest {
  readonly key: string;
  readonly sentAtMs: number;
}

/** A node with its clocks, its link and its version of the routes. */
class ModelNode {
  readonly #options: ModelOptions;
  readonly #replicas: Replicas;
  readonly linkId: number;
  access: KeyAccess;
  version = 0;
  replica: string;
  suspendedMs = 0;
  steppedMs = 0;
  pausedUntilMs = 0;
  readonly inbox: OutboundMessage[] = [];
  readonly pendingRequests: SentRequest[] = [];

  constructor(replicas: Replicas, linkId: number, options: ModelOptions) {
    this.#options = options;
    this.#replicas = replicas;
    this.linkId = linkId;
    this.replica = IDS[linkId % IDS.length]!;
    this.access = this.#createAccess();
  }

  get isPaused(): boolean {
    return this.#replicas.nowMs < this.pausedUntilMs;
  }

  /** Opens a link to a replica, and announces the version of the routes. */
  connect(replica: string): void {
    this.replica = replica;
    this.inbox.length = 0;
    this.#replicas.dispatch(replica, {
      type: "LinkClosed",
      linkId: this.linkId,
    });
    this.#replicas.receiveNodeMessage(replica, this.linkId, {
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

  requestProof(): void {
    this.#replicas.receiveNodeMessage(this.replica, this.linkId, {
      type: "Heartbeat",
      tableVersion: 0,
      routesVersion: this.version,
      proof: this.access.requestProof(),
    });
  }

  processInbox(): void {
    for (const message of this.inbox.splice(0)) {
      if (message.type === "RoutesUpdate") {
        this.#receiveRoutes(message.routes);
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

  #receiveRoutes(routes: RouteTable): void {
    if (routes.version > this.version) {
      this.version = routes.version;
      this.access.replaceWorkspaces(routes.workspaces ?? []);
    }
  }

  #createAccess(): KeyAccess {
    const { leaseMs, detectsSuspension } = this.#options;
    return new KeyAccess({
      leaseMs,
      readClocks: () => {
        const { nowMs } = this.#replicas;
        const { steadyMs } = this;
        const wallMs = detectsSuspension ? nowMs + this.steppedMs : steadyMs;
        return { steadyMs, wallMs };
      },
      computeDigest: (key) => key,
    });
  }
}

/** Replicas, nodes, callers, and an operator that revokes keys. */
class RevocationModel {
  readonly #random: Random;
  readonly #replicas = new Replicas(IDS);
  readonly #nodes: readonly ModelNode[];
  /** When the revocation of a key was acknowledged. */
  readonly #revokedAtMs = new Map<string, number>();
  /** Version of the newest configuration known to the operator. */
  #version = 0;
  #keys: readonly string[] = ["k0"];
  /** Keys of each configuration that was sent, by version. */
  readonly #sent = new Map<number, readonly string[]>();
  #request: number | undefined;
  #requestedAtMs = 0;
  readonly violations: string[] = [];
  grantedCount = 0;
  checkedCount = 0;

  constructor(seed: number, options: ModelOptions) {
    this.#random = createRandom(seed);
    IDS.forEach((id) => this.#replicas.start(id));
    this.#nodes = Array.from(
      { length: NODE_COUNT },
      (_, at) => new ModelNode(this.#replicas, at + 1, options),
    );
    this.#replicas.onLink = (id, linkId, message) => {
      const node = this.#nodes[linkId - 1]!;
      if (node.replica === id) {
        node.inbox.push(message);
      }
    };
  }

  run(hasFaults = true): void {
    const { nowMs } = this.#replicas;
    this.#replicas.runUntil(() =>
      IDS.every((id) => this.#replicas.isConfirmed(id))
    );
    this.#nodes.forEach((node) => node.connect(node.replica));
    const endMs = nowMs + DURATION_MS;
    while (this.#replicas.nowMs < endMs) {
      this.#replicas.runUntil(() => false, TICK_MS);
      this.#stepOperator();
      if (hasFaults) {
        this.#injectFault();
      }
      this.#nodes.forEach((node) => this.#stepNode(node));
    }
  }

  /**
   * Edits the keys, one edit at a time: adds a key and revokes the oldest one.
   */
  #stepOperator(): void {
    if (this.#request === undefined) {
      if (this.#random() < 0.03) {
        this.#startEdit();
      }
      return;
    }
    const result = this.#replicas.results.get(this.#request);
    if (result === undefined) {
      // A killed replica never answers; the edit may still be accepted.
      const isAbandoned =
        this.#replicas.nowMs - this.#requestedAtMs > EDIT_TIMEOUT_MS;
      this.#request = isAbandoned ? undefined : this.#request;
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
      // An abandoned edit was accepted, but never acknowledged.
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

  #injectFault(): void {
    const node = this.#pick(this.#nodes);
    const id = this.#pick(IDS);
    const draw = this.#random();
    if (draw < 0.01) {
      // Healing is likelier than a partition, so that there mostly is a quorum.
      this.#replicas.partition(id, this.#random() < 0.25);
    } else if (draw < 0.015) {
      this.#replicas.kill(id);
    } else if (draw < 0.03) {
      this.#startIfStopped(id);
    } else if (draw < 0.04) {
      // Suspended: the steady clock stops, and requests accumulate.
      const ms = Math.floor(this.#random() * 9_000);
      node.pausedUntilMs = this.#replicas.nowMs + ms;
      node.suspendedMs += ms;
    } else if (draw < 0.045) {
      node.pausedUntilMs = this.#replicas.nowMs + this.#random() * 9_000;
    } else if (draw < 0.05) {
      node.restart();
      node.connect(id);
    } else if (draw < 0.055) {
      node.steppedMs += Math.floor((this.#random() - 0.5) * 6_000);
    } else if (draw < 0.07) {
      node.connect(id);
    }
  }

  #startIfStopped(id: string): void {
    if (!this.#replicas.isRunning(id)) {
      this.#replicas.start(id);
    }
  }

  #stepNode(node: ModelNode): void {
    if (this.#random() < 0.3) {
      const known = [...this.#revokedAtMs.keys(), ...this.#keys];
      const sentAtMs = this.#replicas.nowMs;
      node.pendingRequests.push({ key: this.#pick(known), sentAtMs });
    }
    if (node.isPaused) {
      return;
    }
    // A process that resumes may read requests before any other message.
    if (this.#random() < 0.5) {
      node.processInbox();
    }
    node.pendingRequests.splice(0).forEach((sent) =>
      this.#checkRequest(node, sent)
    );
    if (this.#replicas.nowMs % HEARTBEAT_INTERVAL_MS === 0) {
      node.requestProof();
    }
  }

  #checkRequest(node: ModelNode, { key, sentAtMs }: SentRequest): void {
    this.checkedCount += 1;
    const access = node.access.check(key, node.steadyMs);
    const revokedAtMs = this.#revokedAtMs.get(key);
    if (access.type === "Granted") {
      this.grantedCount += 1;
      if (
        revokedAtMs !== undefined && sentAtMs > revokedAtMs + MAX_REVOCATION_MS
      ) {
        this.violations.push(
          `${key} ran ${sentAtMs - revokedAtMs} ms after its revocation`,
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

function runModel(seed: number, options: ModelOptions): RevocationModel {
  const model = new RevocationModel(seed, options);
  model.run();
  return model;
}

function countViolations(options: ModelOptions): number {
  const seeds = Array.from({ length: SEED_COUNT }, (_, at) => at + 1);
  return seeds.reduce(
    (sum, seed) => sum + runModel(seed, options).violations.length,
    0,
  );
}

describe("a revoked key", () => {
  it(`runs nothing after its time, whatever fails: ${SEED_COUNT} seeds`, () => {
    let checkedCount = 0;
    let grantedCount = 0;
    for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
      const model = runModel(seed, CORRECT_OPTIONS);
      expect(model.violations, `seed ${seed}`).to.deep.equal([]);
      checkedCount += model.checkedCount;
      grantedCount += model.grantedCount;
    }
    // There may be no quorum for most of one run, but not of all runs.
    expect(grantedCount).to.be.above(checkedCount / 10);
  }).timeout(300_000);

  it("would run where nodes had no lease", () => {
    expect(countViolations({ ...CORRECT_OPTIONS, leaseMs: undefined })).to.be
      .above(0);
  }).timeout(300_000);

  it("would run where nodes didn't see that they were suspended", () => {
    expect(countViolations({ ...CORRECT_OPTIONS, detectsSuspension: false })).to
      .be.above(0);
  }).timeout(300_000);

  it("grants requests with valid keys where nothing fails", () => {
    const model = new RevocationModel(1, CORRECT_OPTIONS);
    model.run(false);
    expect(model.grantedCount).to.be.above(50);
  });
});

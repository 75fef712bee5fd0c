/** Control replicas in memory: their disks, their links, and their nodes. */
import type { Recovered } from "../../consensus/common/log_types.ts";
import type { ClusterMessage } from "../../link/common/cluster_messages.ts";
import {
  applyWrite,
  compactLog,
  EMPTY_LOG,
  recover,
} from "../../storage/common/log_replay.ts";
import type {
  ReplayedLog,
  StoredSnapshot,
} from "../../storage/common/log_replay.ts";
import type { PresenceMessage } from "../../membership/common/presence_messages.ts";
import type { TableChange } from "../../table/common/table_reducer.ts";
import { createBootstrapSnapshot } from "../../consensus/common/recovery.ts";
import type { EditResult } from "../../link/common/cluster_messages.ts";
import { createControl } from "../common/control_state.ts";
import { reduceReplica } from "../common/replica_reducer.ts";
import type {
  ReplicaEffect,
  ReplicaEvent,
  ReplicaState,
} from "../common/replica_reducer.ts";
import { restoreReplication } from "../common/replication_reducer.ts";
import { isConfirmed } from "../common/replication_state.ts";
import type { Cluster, ReplicationState } from "../common/replication_state.ts";
import type {
  NodeMessage,
  OutboundMessage,
} from "../../link/common/link_messages.ts";

const TICK_MS = 50;
const CONTROL_TICK_MS = 250;

interface Disk {
  readonly replicaId: string;
  log: ReplayedLog;
  snapshot: StoredSnapshot | undefined;
}

/** A replica set whose clock and faults the test drives. */
export class Replicas {
  nowMs = 1_000_000;
  /** Answers to edits, by request. */
  readonly results = new Map<number, EditResult>();
  /** Answers to reads, by request. */
  readonly reads = new Map<number, boolean>();
  readonly events: string[] = [];
  readonly #ids: readonly string[];
  readonly #createCluster: (self: string) => Cluster;
  readonly #running = new Map<string, ReplicaState>();
  readonly #disks = new Map<string, Disk>();
  readonly #queue: (() => void)[] = [];
  readonly #cut = new Set<string>();
  /** Messages for which this holds are lost. */
  isLost: (message: ClusterMessage, from: string, to: string) => boolean = () =>
    false;
  /** Takes what a replica sends on a link to a node. */
  onLink: (id: string, linkId: number, message: OutboundMessage) => void =
    () => {};
  /** Called before each tick. */
  onTick: () => void = () => {};
  #nextRequest = 1;
  #folders = 0;

  /** Without `createCluster` all ids vote and know each other. */
  constructor(
    ids: readonly string[],
    createCluster?: (self: string) => Cluster,
  ) {
    this.#ids = ids;
    this.#createCluster = createCluster ?? ((self) => ({
      self,
      voters: ids,
      peers: ids.filter((other) => other !== self),
    }));
  }

  /** Starts a replica on its disk, or on an empty one. */
  start(id: string): void {
    const disk = this.#disks.get(id) ?? {
      replicaId: `${id}~${++this.#folders}`,
      log: EMPTY_LOG,
      snapshot: undefined,
    };
    this.#disks.set(id, disk);
    const recovered: Recovered = recover(disk.log, disk.snapshot)
      ._unsafeUnwrap();
    const { state: replication } = restoreReplication({
      cluster: this.#createCluster(id),
      replicaId: disk.replicaId,
      recovered,
      nowMs: this.nowMs,
    });
    const control = createControl(id, this.nowMs);
    this.#running.set(id, { control, replication });
  }

  /** Whether a replica runs. */
  isRunning(id: string): boolean {
    return this.#running.has(id);
  }

  /** Kills a replica; its disk stays. */
  kill(id: string): void {
    this.#running.delete(id);
  }

  /** Empties the disk of a killed replica. */
  wipe(id: string): void {
    this.#disks.delete(id);
  }

  /** Cuts a replica off from all others, or links it again. */
  cut(id: string, isCut = true): void {
    if (isCut) {
      this.#cut.add(id);
    } else {
      this.#cut.delete(id);
    }
  }

  /** Gets a running replica. */
  get(id: string): ReplicationState {
    return this.#running.get(id)!.replication;
  }

  /** Hands a replica what a node says. */
  tell(id: string, linkId: number, message: NodeMessage): void {
    this.dispatch(id, { type: "NodeMessageReceived", linkId, message });
  }

  /** Gets the id of the leader that the running replicas agree on. */
  get leader(): string | undefined {
    return [...this.#running].find(([id, { replication }]) =>
      replication.consensus.role.type === "Leader" && !this.#cut.has(id)
    )?.[0];
  }

  /** Whether a replica vouches for its table. */
  isConfirmed(id: string): boolean {
    return isConfirmed(this.get(id), this.nowMs);
  }

  /** Requests an edit at a replica; returns the number of the request. */
  edit(id: string, editId: string, change: TableChange): number {
    const requestId = this.#nextRequest++;
    const edit = { editId, operator: "amal", atMs: 0, change };
    this.dispatch(id, { type: "EditRequested", requestId, edit });
    return requestId;
  }

  /** Requests a read at a replica; returns the number of the request. */
  read(id: string): number {
    const requestId = this.#nextRequest++;
    this.dispatch(id, { type: "TableReadRequested", requestId });
    return requestId;
  }

  /** Lets time pass until `isDone`, at most for `maxMs`. */
  run(isDone: () => boolean, maxMs = 30_000): boolean {
    const endMs = this.nowMs + maxMs;
    while (this.nowMs < endMs) {
      if (isDone()) {
        return true;
      }
      this.nowMs += TICK_MS;
      this.onTick();
      for (const id of this.#ids) {
        this.dispatch(id, { type: "ReplicationTicked" });
        if (this.nowMs % CONTROL_TICK_MS === 0) {
          this.dispatch(id, { type: "Ticked" });
        }
      }
    }
    return isDone();
  }

  /** Steps a replica, and then all that follows at once. */
  dispatch(id: string, event: ReplicaEvent): void {
    this.#queue.push(() => this.#step(id, event));
    if (this.#queue.length > 1) {
      return;
    }
    while (this.#queue.length > 0) {
      this.#queue[0]!();
      this.#queue.shift();
    }
  }

  #step(id: string, event: ReplicaEvent): void {
    const state = this.#running.get(id);
    if (state === undefined) {
      return;
    }
    const step = reduceReplica(state, event, this.nowMs);
    this.#running.set(id, step.state);
    for (const effect of step.effects) {
      this.#perform(id, effect);
    }
  }

  #perform(id: string, effect: ReplicaEffect): void {
    const disk = this.#disks.get(id)!;
    switch (effect.type) {
      case "SendToPeer":
        this.#send(id, effect.peer, effect.message);
        return;
      case "PersistLog":
        disk.log = applyWrite(disk.log, effect)._unsafeUnwrap();
        this.dispatch(id, { ...effect, type: "PersistCompleted" });
        return;
      case "PersistSnapshot":
        disk.log = compactLog(disk.log, effect);
        disk.snapshot = effect;
        this.dispatch(id, { ...effect, type: "PersistCompleted" });
        return;
      case "StoreFounding": {
        const { configuration } = effect;
        const payload = new Uint8Array();
        const snapshot = createBootstrapSnapshot(configuration, payload);
        disk.snapshot = { snapshot, discardsLog: false };
        this.dispatch(id, { type: "FoundingStored", configuration });
        return;
      }
      case "AnswerEdit":
        this.results.set(effect.requestId, effect.result);
        return;
      case "AnswerRead":
        this.reads.set(effect.requestId, effect.isCurrent);
        return;
      case "SendToLink":
        this.onLink(id, effect.linkId, effect.message);
        return;
      case "SendToReplicas":
        this.#ids.filter((other) => other !== id)
          .forEach((other) => this.#sendPresence(id, other, effect.message));
        return;
      case "SendToReplica":
        this.#sendPresence(id, effect.replica, effect.message);
        return;
      case "LinkPeer":
      case "UnlinkPeer":
        return;
      case "RecordEvent":
        this.events.push(`${id}: ${Object.values(effect.event).join(" ")}`);
        return;
    }
  }

  #sendPresence(from: string, to: string, message: PresenceMessage): void {
    if (!this.#cut.has(from) && !this.#cut.has(to)) {
      const channel = { type: "Dialled", replica: from } as const;
      this.dispatch(to, { type: "PresenceReceived", channel, message });
    }
  }

  #send(from: string, to: string, message: ClusterMessage): void {
    const isCut = this.#cut.has(from) || this.#cut.has(to);
    if (!isCut && !this.isLost(message, from, to)) {
      this.dispatch(to, { type: "ClusterMessageReceived", message });
    }
  }
}

/** Control replicas in memory, with their disks, links and nodes. */
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
import type { RoutesRecord } from "../common/routes_record.ts";
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

/** A replica set whose clock and faults are driven by a test. */
export class Replicas {
  nowMs = 1_000_000;
  /** Answers to edits, by request. */
  readonly results = new Map<number, EditResult>();
  /** Answers to reads, by request. */
  readonly reads = new Map<number, boolean>();
  /** Recorded events, as the replica and the values of the fields. */
  readonly events: string[] = [];
  /** What the log did to the routes, with the replica that applied it. */
  readonly routesRecords: (RoutesRecord & { readonly replica: string })[] = [];
  readonly #ids: readonly string[];
  readonly #createCluster: (self: string) => Cluster;
  readonly #running = new Map<string, ReplicaState>();
  readonly #disks = new Map<string, Disk>();
  readonly #queue: (() => void)[] = [];
  readonly #partitioned = new Set<string>();
  /** Whether a message is lost. */
  isLost: (message: ClusterMessage, from: string, to: string) => boolean = () =>
    false;
  /** Called with each message that a replica sends on a link to a node. */
  onLink: (id: string, linkId: number, message: OutboundMessage) => void =
    () => {};
  /** Called before each tick. */
  onTick: () => void = () => {};
  #nextRequest = 1;
  #folderCount = 0;

  /** Without `createCluster` all ids are voters and know each other. */
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

  /** Starts a replica with its disk, or with an empty one if it has none. */
  start(id: string): void {
    const disk = this.#disks.get(id) ?? {
      replicaId: `${id}~${++this.#folderCount}`,
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

  /** Whether a replica is running. */
  isRunning(id: string): boolean {
    return this.#running.has(id);
  }

  /** Kills a replica; its disk is retained. */
  kill(id: string): void {
    this.#running.delete(id);
  }

  /** Empties the disk of a killed replica. */
  wipe(id: string): void {
    this.#disks.delete(id);
  }

  /** Partitions a replica from all others, or heals the partition. */
  partition(id: string, isPartitioned = true): void {
    if (isPartitioned) {
      this.#partitioned.add(id);
    } else {
      this.#partitioned.delete(id);
    }
  }

  /** Gets the replication state of a running replica. */
  get(id: string): ReplicationState {
    return this.#running.get(id)!.replication;
  }

  /** Dispatches a message of a node to a replica. */
  receiveNodeMessage(id: string, linkId: number, message: NodeMessage): void {
    this.dispatch(id, { type: "NodeMessageReceived", linkId, message });
  }

  /** Gets the id of the running leader that isn't partitioned. */
  get leader(): string | undefined {
    return [...this.#running].find(([id, { replication }]) =>
      replication.consensus.role.type === "Leader" && !this.#partitioned.has(id)
    )?.[0];
  }

  /** Whether a replica has confirmed that its table is current. */
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

  /**
   * Advances the clock until `isDone`, for `maxMs` at most; returns `isDone`.
   */
  runUntil(isDone: () => boolean, maxMs = 30_000): boolean {
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

  /**
   * Dispatches an event to a replica, and then all events that follow from it.
   */
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
      case "RecordRoutes":
        this.routesRecords.push({ replica: id, ...effect.record });
        return;
      case "RecordEvent":
        this.events.push(`${id}: ${Object.values(effect.event).join(" ")}`);
        return;
    }
  }

  #sendPresence(from: string, to: string, message: PresenceMessage): void {
    if (!this.#partitioned.has(from) && !this.#partitioned.has(to)) {
      const channel = { type: "Dialled", replica: from } as const;
      this.dispatch(to, { type: "PresenceReceived", channel, message });
    }
  }

  #send(from: string, to: string, message: ClusterMessage): void {
    const isPartitioned = this.#partitioned.has(from) ||
      this.#partitioned.has(to);
    if (!isPartitioned && !this.isLost(message, from, to)) {
      this.dispatch(to, { type: "ClusterMessageReceived", message });
    }
  }
}

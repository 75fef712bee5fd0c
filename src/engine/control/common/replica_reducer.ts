/**
 * The root reducer of the control role: replication of the table, and its
 * nodes.
 */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type { HolderCommand } from "../../claims/common/holder_set_reducer.ts";
import { createControl } from "./control_state.ts";
import { reduceControl } from "./control_reducer.ts";
import type {
  ControlEffect,
  ControlEvent,
  ControlState,
} from "./control_state.ts";
import { createCopiedCommand, planHolderChanges } from "./holder_planning.ts";
import { listAlivePeers } from "./peer_discovery.ts";
import {
  reduceReplication,
  restoreReplication,
} from "./replication_reducer.ts";
import type { ReplicationOptions } from "./replication_reducer.ts";
import { isConfirmed } from "./replication_state.ts";
import type {
  ReplicationEffect,
  ReplicationEvent,
  ReplicationState,
} from "./replication_state.ts";

/** The state of a control process. */
export interface ReplicaState {
  readonly control: ControlState;
  readonly replication: ReplicationState;
  /** The peers of which the nodes were last notified. */
  readonly publishedPeers?: ReplicationState["peers"];
}

/** An event at a control process. */
export type ReplicaEvent = ControlEvent | ReplicationEvent;

/** An effect of a control process. */
export type ReplicaEffect = ControlEffect | ReplicationEffect;

/** A state of a control process and the effects of reaching it. */
export type ReplicaStep = Reduction<ReplicaState, ReplicaEffect>;

/** Creates the state of a control process from the contents of its disk. */
export function createReplica(options: ReplicationOptions): ReplicaState {
  return {
    control: createControl(
      options.cluster.self,
      options.nowMs,
      options.quotaTerms,
    ),
    replication: restoreReplication(options).state,
  };
}

/**
 * Applies an event; `nowMs` is the steady clock in milliseconds. The replicated
 * state is published to the nodes both before and after the event, so that a
 * process that was suspended never presents its table as current.
 */
export function reduceReplica(
  state: ReplicaState,
  event: ReplicaEvent,
  nowMs: number,
): ReplicaStep {
  const published = publish(state, nowMs);
  const stepped = chainReduction(published, (s) => step(s, event, nowMs));
  return chainReduction(stepped, (s) => publish(s, nowMs));
}

function step(
  state: ReplicaState,
  event: ReplicaEvent,
  nowMs: number,
): ReplicaStep {
  switch (event.type) {
    case "ClusterMessageReceived":
    case "PersistCompleted":
    case "FoundingStored":
    case "EditRequested":
    case "HolderChangeRequested":
    case "CrashReportReceived":
    case "TableReadRequested":
    case "ProofWanted":
    case "SeedsLearned":
    case "StopPlanned":
    case "ReplicationTicked": {
      const result = reduceReplication(state.replication, event, nowMs);
      const next = { ...state, replication: result.state };
      return createReduction(next, result.effects);
    }
    default: {
      const result = reduceControl(state.control, event, nowMs);
      const next = { ...state, control: result.state };
      return chainReduction(
        chainReduction(
          createReduction<ReplicaState, ReplicaEffect>(next, result.effects),
          (s) => requestHolderChanges(s, event, nowMs),
        ),
        (s) =>
          chainReduction(
            reportCrashes(s, event, nowMs),
            (reported) => requestProof(reported, event, nowMs),
          ),
      );
    }
  }
}

/**
 * Starts a round of reads for an urgent request for a proof: a round that
 * starts now can answer it.
 */
function requestProof(
  state: ReplicaState,
  event: ControlEvent,
  nowMs: number,
): ReplicaStep {
  const isUrgent = event.type === "NodeMessageReceived" &&
    event.message.type === "Heartbeat" && event.message.isUrgent === true;
  return isUrgent
    ? step(state, { type: "ProofWanted" }, nowMs)
    : createReduction(state);
}

/** Requests that the evidence which a node reports is replicated. */
function reportCrashes(
  state: ReplicaState,
  event: ControlEvent,
  nowMs: number,
): ReplicaStep {
  if (
    event.type !== "NodeMessageReceived" ||
    event.message.type !== "Heartbeat" || event.message.crashes === undefined
  ) {
    return createReduction(state);
  }
  const { crashes: reports } = event.message;
  const command = { type: "CrashesReported", reports, atMs: nowMs } as const;
  return step(state, { type: "CrashReportReceived", command }, nowMs);
}

/**
 * Requests the changes of holders that follow from a node's report or from
 * presence.
 */
function requestHolderChanges(
  state: ReplicaState,
  event: ControlEvent,
  nowMs: number,
): ReplicaStep {
  const commands = listHolderCommands(state, event, nowMs);
  return commands.reduce<ReplicaStep>(
    (result, command) =>
      chainReduction(
        result,
        (s) => step(s, { type: "HolderChangeRequested", command }, nowMs),
      ),
    createReduction(state),
  );
}

/**
 * Lists the changes of holders that follow from an event. The leader plans at
 * each tick, so that changes of its own nodes, of the nodes of other replicas
 * and of the leader itself are all handled in the same way.
 */
function listHolderCommands(
  { control, replication }: ReplicaState,
  event: ControlEvent,
  nowMs: number,
): readonly HolderCommand[] {
  if (event.type === "Ticked") {
    const isPlanning = replication.consensus.role.type === "Leader" &&
      isConfirmed(replication, nowMs);
    return isPlanning ? planHolderChanges(control, replication.holders) : [];
  }
  if (
    event.type !== "NodeMessageReceived" ||
    event.message.type !== "ReportCopied"
  ) {
    return [];
  }
  const command = createCopiedCommand(control, event.linkId, event.message);
  return command === undefined ? [] : [command];
}

function publish(state: ReplicaState, nowMs: number): ReplicaStep {
  // Nodes must know the evidence before they are sent routes.
  const steps: readonly ((s: ReplicaState) => ReplicaStep)[] = [
    (s) => publishCrashes(s, nowMs),
    (s) => publishTable(publishReplicas(s), nowMs),
    (s) => publishRounds(s, nowMs),
    (s) => publishHolders(s, nowMs),
  ];
  return steps.reduce<ReplicaStep>(
    (result, step) => chainReduction(result, step),
    createReduction(state),
  );
}

/**
 * Publishes the rounds of reads. Must follow the table: a proof may only name a
 * version that was pushed before.
 */
function publishRounds(state: ReplicaState, nowMs: number): ReplicaStep {
  const { rounds } = state.replication.confirmation;
  return state.control.readRounds === rounds
    ? createReduction(state)
    : step(state, { type: "RoundsReplaced", readRounds: rounds }, nowMs);
}

/**
 * Publishes the replicas; nodes receive them with the next answer to a
 * heartbeat.
 */
function publishReplicas(state: ReplicaState): ReplicaState {
  const { control, replication } = state;
  const { cluster, peers } = replication;
  if (cluster.discovery === undefined || peers === state.publishedPeers) {
    return state;
  }
  const replicas = [cluster.self, ...listAlivePeers(replication)];
  return {
    ...state,
    control: { ...control, replicas },
    publishedPeers: peers,
  };
}

function publishCrashes(state: ReplicaState, nowMs: number): ReplicaStep {
  const { crashes } = state.replication;
  return state.control.crashes === crashes
    ? createReduction(state)
    : step(state, { type: "CrashesReplaced", crashes }, nowMs);
}

function publishHolders(state: ReplicaState, nowMs: number): ReplicaStep {
  const { holders } = state.replication;
  return state.control.holders === holders
    ? createReduction(state)
    : step(state, { type: "HoldersReplaced", holders }, nowMs);
}

function publishTable(state: ReplicaState, nowMs: number): ReplicaStep {
  const { control, replication } = state;
  const { tableState } = replication;
  const isCurrent = isConfirmed(replication, nowMs);
  const isSame = control.tableState === tableState &&
    control.isTableConfirmed === isCurrent;
  return isSame
    ? createReduction(state)
    : step(state, { type: "TableReplaced", tableState, isCurrent }, nowMs);
}

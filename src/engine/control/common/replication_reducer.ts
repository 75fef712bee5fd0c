/**
 * Reducer of one replica of the table: consensus, bootstrap, repair of the
 * replica set, edits and reads.
 */
import { setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { restoreConsensus } from "../../consensus/common/recovery.ts";
import type { Recovered } from "../../consensus/common/log_types.ts";
import type {
  ClusterMessage,
  ReplicaHello,
} from "../../link/common/cluster_messages.ts";
import type { QuotaTerms } from "../../workspaces/common/quota_shares.ts";
import { applyEffects, stepConsensus } from "./consensus_step.ts";
import { expireEdits, receiveReply } from "./edit_requests.ts";
import { sendDueEdits, startEdit } from "./edit_sending.ts";
import { bootstrapCluster, finishBootstrap, isEmpty } from "./bootstrap.ts";
import {
  addHelloPeers,
  addMemberPeers,
  addPeers,
  createPeer,
  listAlivePeers,
  removeSilentPeers,
} from "./peer_discovery.ts";
import { proposeCommand, requestCommand } from "./command_proposals.ts";
import { selectConfigurationChange } from "./replica_repair.ts";
import { INITIAL_REPLICATED_STATE } from "./replicated_codec.ts";
import {
  CONSENSUS_OPTIONS,
  createRequestId,
  getRole,
  HELLO_INTERVAL_MS,
  PEER_SILENCE_LIMIT_MS,
} from "./replication_state.ts";
import type {
  Cluster,
  Peer,
  ReplicationEffect,
  ReplicationEvent,
  ReplicationState,
  ReplicationStep,
} from "./replication_state.ts";
import {
  renewConfirmation,
  requestConfirmation,
  sendWaitingReads,
  startRead,
} from "./read_sending.ts";
import { INITIAL_READ_ROUNDS } from "./routes_proof.ts";
import { expireReads } from "./table_reads.ts";

/** Options from which a replica is restored. */
export interface ReplicationOptions {
  readonly cluster: Cluster;
  /** Id of its data folder: `id~suffix` with the id of the settings. */
  readonly replicaId: string;
  /** Contents of its disk. */
  readonly recovered: Recovered;
  /** Steady clock in milliseconds. */
  readonly nowMs: number;
  /** How limits of workspaces are enforced; undefined if they aren't. */
  readonly quotaTerms?: QuotaTerms | undefined;
}

/** Restores a replica from the contents of its disk. */
export function restoreReplication(
  options: ReplicationOptions,
): ReplicationStep {
  const { cluster, replicaId, recovered, nowMs } = options;
  const { state: consensus, effects } = restoreConsensus({
    replicaId,
    recovered,
    options: CONSENSUS_OPTIONS,
    nowMs,
  });
  const peers = new Map(cluster.peers.map((id) => [id, createPeer(nowMs)]));
  const state: ReplicationState = {
    cluster,
    consensus,
    ...INITIAL_REPLICATED_STATE,
    lastApplied: [],
    commandProposals: new Map(),
    peers,
    edits: new Map(),
    reads: new Map(),
    confirmation: {
      requestId: undefined,
      startedAtMs: nowMs,
      confirmedAtMs: undefined,
      isRequested: false,
      rounds: INITIAL_READ_ROUNDS,
    },
    isStoringBootstrap: false,
    voters: consensus.configuration.voters,
    lastHelloAtMs: 0,
    startedAtMs: nowMs,
    nextRequest: 1,
  };
  return applyEffects(state, effects, nowMs);
}

/**
 * Applies an event to a replica; `nowMs` is the steady clock in milliseconds.
 */
export function reduceReplication(
  state: ReplicationState,
  event: ReplicationEvent,
  nowMs: number,
): ReplicationStep {
  switch (event.type) {
    case "ClusterMessageReceived":
      return receiveMessage(state, event.message, nowMs);
    case "PersistCompleted":
      return stepConsensus(state, event, nowMs);
    case "FoundingStored":
      return createReduction(finishBootstrap(state, event.configuration));
    case "EditRequested": {
      const { requestId, edit } = event;
      const origin = { type: "Operator", requestId } as const;
      return startEdit(state, { edit, origin }, nowMs);
    }
    case "HolderChangeRequested":
    case "CrashReportReceived":
      return requestCommand(state, event.command, nowMs);
    case "TableReadRequested":
      return startRead(state, event.requestId, nowMs);
    case "ProofWanted":
      return renewConfirmation(requestConfirmation(state), nowMs);
    case "SeedsLearned":
      return addPeers(state, event.seeds, nowMs);
    case "StopPlanned": {
      const type = "LeadershipTransferRequested";
      return stepConsensus(state, { type, targetId: undefined }, nowMs);
    }
    case "ReplicationTicked":
      return tick(state, nowMs);
  }
}

function receiveMessage(
  state: ReplicationState,
  message: ClusterMessage,
  nowMs: number,
): ReplicationStep {
  switch (message.type) {
    case "ReplicaHello":
      return chainReduction(
        addHelloPeers(state, message, nowMs),
        (s) => receiveHello(s, message, nowMs),
      );
    case "ConsensusRelay": {
      const { from, to } = message;
      const event = { type: "MessageReceived", from } as const;
      return to === state.consensus.replicaId
        ? stepConsensus(state, { ...event, message: message.message }, nowMs)
        : createReduction(state);
    }
    case "EditForward": {
      const { edit, from: peer, requestId } = message;
      const origin = { type: "Peer", peer, requestId } as const;
      return startEdit(state, { edit, origin }, nowMs);
    }
    case "HolderForward":
      return proposeCommand(state, message.command, nowMs);
    case "EditReply":
      return receiveReply(state, message);
  }
}

function receiveHello(
  state: ReplicationState,
  hello: ReplicaHello,
  nowMs: number,
): ReplicationStep {
  const previous = state.peers.get(hello.id);
  if (previous === undefined) {
    return createReduction(state);
  }
  const { type: _type, id, known: _known, ...fields } = hello;
  const peer: Peer = { ...fields, lastReceivedAtMs: nowMs, isSilent: false };
  const next = { ...state, peers: setEntry(state.peers, id, peer) };
  const event = { type: "ReplicaHeard", replica: id } as const;
  return createReduction(
    next,
    previous.isSilent ? [{ type: "RecordEvent", event }] : [],
  );
}

function tick(state: ReplicationState, nowMs: number): ReplicationStep {
  const steps: readonly ((s: ReplicationState) => ReplicationStep)[] = [
    (s) => stepConsensus(s, { type: "Ticked" }, nowMs),
    (s) => reportSilence(s, nowMs),
    bootstrapCluster,
    (s) => addMemberPeers(s, nowMs),
    (s) => repairReplicas(s, nowMs),
    (s) => removeSilentPeers(s, nowMs),
    (s) => expireEdits(s, nowMs),
    (s) => sendDueEdits(s, nowMs),
    (s) => expireReads(s, nowMs),
    (s) => sendWaitingReads(s, nowMs),
    (s) => renewConfirmation(s, nowMs),
    (s) => sendHello(s, nowMs),
  ];
  return steps.reduce<ReplicationStep>(
    (result, step) => chainReduction(result, step),
    createReduction(state),
  );
}

function reportSilence(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const silent = [...state.peers].filter(([, peer]) =>
    !peer.isSilent && nowMs - peer.lastReceivedAtMs > PEER_SILENCE_LIMIT_MS
  );
  if (silent.length === 0) {
    return createReduction(state);
  }
  const peers = new Map(state.peers);
  const effects = silent.map(([replica, peer]): ReplicationEffect => {
    peers.set(replica, { ...peer, isSilent: true });
    const event = { type: "ReplicaSilent", replica } as const;
    return { type: "RecordEvent", event };
  });
  return createReduction({ ...state, peers }, effects);
}

/**
 * Proposes the next change of the replica set. A change that can't be made now
 * is selected again at a later tick.
 */
function repairReplicas(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const { consensus } = state;
  const { role, configurationIndex, commitIndex } = consensus;
  if (role.type !== "Leader" || configurationIndex > commitIndex) {
    return createReduction(state);
  }
  const change = selectConfigurationChange(state, nowMs);
  if (change === undefined) {
    return createReduction(state);
  }
  const requestId = createRequestId(state);
  const next = { ...state, nextRequest: state.nextRequest + 1 };
  const type = "ConfigurationChangeProposed";
  return stepConsensus(next, { type, requestId, change }, nowMs);
}

function sendHello(state: ReplicationState, nowMs: number): ReplicationStep {
  if (Math.abs(nowMs - state.lastHelloAtMs) < HELLO_INTERVAL_MS) {
    return createReduction(state);
  }
  const { consensus, cluster } = state;
  const message: ReplicaHello = {
    type: "ReplicaHello",
    id: cluster.self,
    replicaId: consensus.replicaId,
    isEmpty: isEmpty(state) && !state.isStoringBootstrap,
    role: getRole(state),
    term: consensus.term,
    commitIndex: consensus.commitIndex,
    ...(cluster.discovery === undefined
      ? {}
      : { known: listAlivePeers(state) }),
  };
  const hellos = [...state.peers.keys()].map((peer): ReplicationEffect => ({
    type: "SendToPeer",
    peer,
    message,
  }));
  return createReduction({ ...state, lastHelloAtMs: nowMs }, hellos);
}

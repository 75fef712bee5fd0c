/** Messages between control replicas that concern the replicated state. */
import type { ConsensusMessage } from "../../consensus/common/consensus_messages.ts";
import type { HolderCommand } from "../../claims/common/holder_set_reducer.ts";
import type {
  EditOutcome,
  TableEdit,
} from "../../table/common/table_reducer.ts";

/** What a replica is to the others. */
export type ReplicaRole = "leader" | "follower" | "learner" | "joining";

/** Says who runs under an id of the settings, and how far it is. */
export interface ReplicaHello {
  readonly type: "ReplicaHello";
  /** Id in the settings. */
  readonly id: string;
  /** Id that belongs to the data folder. */
  readonly replicaId: string;
  /** Nothing was ever written to the folder: no vote, no entry. */
  readonly isEmpty: boolean;
  readonly role: ReplicaRole;
  readonly term: number;
  readonly commitIndex: number;
  /** Other replicas that it has heard lately, where they find each other. */
  readonly known?: readonly string[];
}

/** A message of consensus; dropped where `to` isn't the receiver. */
export interface ConsensusRelay {
  readonly type: "ConsensusRelay";
  readonly from: string;
  readonly to: string;
  readonly message: ConsensusMessage;
}

/** Hands an edit to the leader. */
export interface EditForward {
  readonly type: "EditForward";
  readonly requestId: string;
  /** Id in the settings of the replica that asks. */
  readonly from: string;
  readonly edit: TableEdit;
}

/** Hands a change of holders to the leader; there is no answer. */
export interface HolderForward {
  readonly type: "HolderForward";
  readonly command: HolderCommand;
}

/** What became of an edit. */
export type EditResult =
  | { readonly type: "EditAnswered"; readonly outcome: EditOutcome }
  | {
    readonly type: "EditRefused";
    /** Whether it was proposed, and may yet be committed. */
    readonly isUnknown: boolean;
  };

/** Answers a forwarded edit. */
export interface EditReply {
  readonly type: "EditReply";
  readonly requestId: string;
  readonly result: EditResult;
}

/** What control replicas say about the replicated state. */
export type ClusterMessage =
  | ReplicaHello
  | ConsensusRelay
  | EditForward
  | EditReply
  | HolderForward;

/** Whether a message concerns the replicated state. */
export function isClusterMessage(
  message: { readonly type: string },
): message is ClusterMessage {
  switch (message.type) {
    case "ReplicaHello":
    case "ConsensusRelay":
    case "EditForward":
    case "EditReply":
    case "HolderForward":
      return true;
    default:
      return false;
  }
}

/** Messages between control replicas about the replicated state. */
import type { ConsensusMessage } from "../../consensus/common/consensus_messages.ts";
import type { HolderCommand } from "../../claims/common/holder_set_reducer.ts";
import type { CrashCommand } from "../../quarantine/common/crash_messages.ts";
import type {
  EditOutcome,
  TableEdit,
} from "../../table/common/table_reducer.ts";

/** Role of a replica in the consensus group. */
export type ReplicaRole = "leader" | "follower" | "learner" | "joining";

/** Identifies the process behind a configured id, and reports its progress. */
export interface ReplicaHello {
  readonly type: "ReplicaHello";
  /** Id of the replica in the settings. */
  readonly id: string;
  /** Id stored in the data folder; changes when the folder is wiped. */
  readonly replicaId: string;
  /** Whether the folder has no vote and no log entry, and never had. */
  readonly isEmpty: boolean;
  readonly role: ReplicaRole;
  readonly term: number;
  readonly commitIndex: number;
  /** Ids of replicas that it received from recently; set with discovery. */
  readonly known?: readonly string[];
}

/** A consensus message; discarded if `to` isn't the receiver's id. */
export interface ConsensusRelay {
  readonly type: "ConsensusRelay";
  readonly from: string;
  readonly to: string;
  readonly message: ConsensusMessage;
}

/** Forwards an edit to the leader, which answers with an `EditReply`. */
export interface EditForward {
  readonly type: "EditForward";
  readonly requestId: string;
  /** Id in the settings of the forwarding replica. */
  readonly from: string;
  readonly edit: TableEdit;
}

/** Forwards a command to the leader; not answered. */
export interface HolderForward {
  readonly type: "HolderForward";
  readonly command: HolderCommand | CrashCommand;
}

/** Where the replicated log holds an edit. */
export interface EditEntry {
  readonly index: number;
  readonly term: number;
  /** Whether an earlier entry had accepted the same edit. */
  readonly isRepeat: boolean;
}

/** Result of an edit. */
export type EditResult =
  | {
    readonly type: "EditAnswered";
    readonly outcome: EditOutcome;
    /**
     * Entry of the log with the edit, for logs; absent if the leader is of a
     * former version.
     */
    readonly entry?: EditEntry;
  }
  | {
    readonly type: "EditRefused";
    /** Whether the edit was proposed, so that it may still be committed. */
    readonly isUnknown: boolean;
  };

/** Answers a forwarded edit. */
export interface EditReply {
  readonly type: "EditReply";
  readonly requestId: string;
  readonly result: EditResult;
}

/** A message about the replicated state. */
export type ClusterMessage =
  | ReplicaHello
  | ConsensusRelay
  | EditForward
  | EditReply
  | HolderForward;

/** Whether a message is about the replicated state. */
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

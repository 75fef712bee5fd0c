/**
 * Proves to nodes that their routes are the newest ones. Nodes serve keys only
 * while such a proof is valid.
 *
 * A proof answers a node's request with a round of linearizable reads that
 * started after the request was received. It doesn't depend on this replica's
 * clock: a replica that was suspended has no confirmed round that started
 * since.
 */
import { createReduction } from "../../../base/common/reduction.ts";
import { createSend, NEW_LINK, updateLink } from "./control_state.ts";
import type {
  ControlEffect,
  ControlState,
  ControlStep,
  Link,
} from "./control_state.ts";
import { createSharesUpdates } from "./usage_step.ts";

/** Rounds of linearizable reads by this replica; they are numbered from 1. */
export interface ReadRounds {
  /** Number of rounds started. */
  readonly started: number;
  /** Number of the last round confirmed by a quorum. */
  readonly confirmed: number;
}

/** A node's request for a proof. */
export interface ProofRequest {
  /** The node's number of the request, which is returned with the proof. */
  readonly number: number;
  /** The first round that answers it. */
  readonly round: number;
}

/** The state before any round. */
export const INITIAL_READ_ROUNDS: ReadRounds = { started: 0, confirmed: 0 };

/**
 * Maximum number of outstanding requests per link; nodes send a few per second.
 */
const MAX_PROOF_REQUESTS = 8;

/**
 * Records a node's request for a proof. A round in progress started too early
 * to answer it.
 */
export function recordProofRequest(
  state: ControlState,
  linkId: number,
  number: number | undefined,
): ControlState {
  if (number === undefined) {
    return state;
  }
  const { proofRequests } = state.links.get(linkId) ?? NEW_LINK;
  const proofRequest = { number, round: state.readRounds.started + 1 };
  return proofRequests.length >= MAX_PROOF_REQUESTS
    ? state
    : updateLink(state, linkId, {
      proofRequests: [...proofRequests, proofRequest],
    });
}

/**
 * Updates the rounds, and answers the requests received before the last
 * confirmed round started.
 */
export function updateReadRounds(
  state: ControlState,
  readRounds: ReadRounds,
): ControlStep {
  let links: Map<number, Link> | undefined;
  const effects: ControlEffect[] = [];
  const { version: routesVersion } = state.tableState.document.table;
  for (const [linkId, link] of state.links) {
    const isAnswered = ({ round }: ProofRequest) =>
      round <= readRounds.confirmed;
    const newest = link.proofRequests.findLast(isAnswered);
    if (newest !== undefined) {
      const proofRequests = link.proofRequests.filter((request) =>
        !isAnswered(request)
      );
      links ??= new Map(state.links);
      links.set(linkId, { ...link, proofRequests });
      const { number } = newest;
      // Shares come first, so that a node that has just started admits by them.
      effects.push(...createSharesUpdates(state, [linkId]));
      effects.push(
        createSend(linkId, { type: "RoutesProved", number, routesVersion }),
      );
    }
  }
  return createReduction(
    { ...state, links: links ?? state.links, readRounds },
    effects,
  );
}

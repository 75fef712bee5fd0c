/**
 * Proves to nodes that the routes they hold are the newest ones: they serve
 * keys only while such a proof holds.
 *
 * A proof answers a question with a round of reads that began after the
 * question came. Nothing hangs on this replica's clock: one that was suspended
 * has no round to show that began since.
 */
import { createReduction } from "../../../base/common/reduction.ts";
import { createSend, NEW_LINK, updateLink } from "./control_state.ts";
import type {
  ControlEffect,
  ControlState,
  ControlStep,
  Link,
} from "./control_state.ts";
import { tellShares } from "./usage_step.ts";

/** Rounds of reads that this replica began, and had confirmed by a quorum. */
export interface ReadRounds {
  readonly started: number;
  readonly confirmed: number;
}

/** A question of a node, and the first round that answers it. */
export interface ProofQuestion {
  readonly number: number;
  readonly round: number;
}

/** No rounds yet. */
export const NO_ROUNDS: ReadRounds = { started: 0, confirmed: 0 };

/** Questions that a link may have open; a node asks some times a second. */
const MAX_QUESTIONS = 8;

/** Notes that a node asks for a proof; one in flight began too early. */
export function noteQuestion(
  state: ControlState,
  linkId: number,
  number: number | undefined,
): ControlState {
  if (number === undefined) {
    return state;
  }
  const { questions } = state.links.get(linkId) ?? NEW_LINK;
  const question = { number, round: state.readRounds.started + 1 };
  return questions.length >= MAX_QUESTIONS
    ? state
    : updateLink(state, linkId, { questions: [...questions, question] });
}

/** Answers the questions that came before a round that is confirmed now. */
export function replaceRounds(
  state: ControlState,
  readRounds: ReadRounds,
): ControlStep {
  let links: Map<number, Link> | undefined;
  const effects: ControlEffect[] = [];
  const { version: routesVersion } = state.tableState.document.table;
  for (const [linkId, link] of state.links) {
    const isAnswered = ({ round }: ProofQuestion) =>
      round <= readRounds.confirmed;
    const newest = link.questions.findLast(isAnswered);
    if (newest !== undefined) {
      const questions = link.questions.filter((one) => !isAnswered(one));
      links ??= new Map(state.links);
      links.set(linkId, { ...link, questions });
      const { number } = newest;
      // First, so that a node that was just started lets in its due at once.
      effects.push(...tellShares(state, [linkId]));
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

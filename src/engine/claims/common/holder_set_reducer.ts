/** Decides which nodes hold the keys of a service; it is replicated. */
import { hashText } from "../../../base/common/hash.ts";
import { countMajority } from "./claim_types.ts";
import type { Holder, HolderSet, HolderSets } from "./claim_types.ts";

/** A node that may become a holder. */
export interface Candidate extends Holder {
  /** A draining node stays a holder until others have copied. */
  readonly isDraining: boolean;
}

/** The holder sets of one service, with the reports on the proposed one. */
export interface ServiceHolders extends HolderSets {
  /** Nodes of the proposed set that have copied, by node id. */
  readonly copied: readonly string[];
  readonly lastEpoch: number;
}

/** A change of the holder sets, in the form that a log can carry. */
export type HolderCommand =
  | {
    readonly type: "HolderSetProposed";
    readonly service: string;
    readonly members: readonly Holder[];
    /** The last epoch that the plan was made from; 0 for none. */
    readonly fromEpoch: number;
  }
  | {
    readonly type: "HolderCopied";
    readonly service: string;
    readonly epoch: number;
    readonly nodeId: string;
    readonly incarnation: number;
  };

/** Most holders of a service. */
export const MAX_HOLDERS = 3;

/**
 * Applies a command; the same on every replica. A plan that was made from
 * other sets than the present ones changes nothing.
 */
export function applyHolderCommand(
  current: ServiceHolders | undefined,
  command: HolderCommand,
): ServiceHolders | undefined {
  switch (command.type) {
    case "HolderSetProposed":
      return command.fromEpoch === (current?.lastEpoch ?? 0)
        ? proposeSet(current, command.service, command.members)
        : current;
    case "HolderCopied":
      return current && activateSet(current, command);
  }
}

/**
 * Plans the members that a service should have; undefined where the present
 * ones do. Live members stay, so that little is copied; a set never shrinks,
 * for a smaller one would lose more with its next loss.
 */
export function planHolders(
  current: ServiceHolders | undefined,
  candidates: readonly Candidate[],
  service: string,
): readonly Holder[] | undefined {
  const live = candidates.filter((candidate) => !candidate.isDraining);
  const set = current?.proposed ?? current?.active;
  const size = chooseSize(live.length);
  if (size === 0 || size < (set?.members.length ?? 0)) {
    return undefined;
  }
  const staying = (set?.members ?? []).filter((member) =>
    live.some((candidate) => isSameStart(candidate, member))
  );
  const isWhole = staying.length >= size;
  return isWhole ? undefined : chooseHolders({ service, live, staying, size });
}

/** Whether all of some holders are among others. */
export function hasHolders(
  members: readonly Holder[],
  some: readonly Holder[],
): boolean {
  return some.every((one) =>
    members.some((member) => isSameStart(member, one))
  );
}

function proposeSet(
  current: ServiceHolders | undefined,
  service: string,
  members: readonly Holder[],
): ServiceHolders {
  const epoch = (current?.lastEpoch ?? 0) + 1;
  if (current === undefined) {
    const active = { service, epoch, members, previous: undefined };
    return { active, proposed: undefined, copied: [], lastEpoch: epoch };
  }
  const previous = {
    epoch: current.active.epoch,
    members: current.active.members,
  };
  const proposed: HolderSet = { service, epoch, members, previous };
  return { active: current.active, proposed, copied: [], lastEpoch: epoch };
}

/** A set is claimed in only after a majority of it has copied. */
function activateSet(
  current: ServiceHolders,
  command: Extract<HolderCommand, { type: "HolderCopied" }>,
): ServiceHolders {
  const { proposed } = current;
  const isWanted = proposed?.epoch === command.epoch &&
    proposed.members.some((member) => isSameStart(member, command));
  if (proposed === undefined || !isWanted) {
    return current;
  }
  const copied = [...new Set([...current.copied, command.nodeId])];
  if (copied.length < countMajority(proposed.members)) {
    return { ...current, copied };
  }
  return { ...current, active: proposed, proposed: undefined, copied: [] };
}

/** An odd number: an even one needs more votes and bears no more losses. */
function chooseSize(nodes: number): number {
  const most = Math.min(MAX_HOLDERS, nodes);
  return most % 2 === 0 ? Math.max(0, most - 1) : most;
}

/** Other data centres first, then by rendezvous hashing. */
function chooseHolders(from: {
  readonly service: string;
  readonly live: readonly Candidate[];
  readonly staying: readonly Holder[];
  readonly size: number;
}): readonly Holder[] {
  const chosen = from.staying.slice(0, from.size);
  const ranked = from.live.toSorted((a, b) =>
    hashText(`${from.service}/${b.nodeId}`) -
    hashText(`${from.service}/${a.nodeId}`)
  );
  while (chosen.length < from.size) {
    const free = ranked.filter((candidate) =>
      chosen.every((holder) => holder.nodeId !== candidate.nodeId)
    );
    const apart = free.find((candidate) =>
      chosen.every((holder) => holder.dataCentre !== candidate.dataCentre)
    );
    const { nodeId, incarnation, dataCentre, ingress } = apart ?? free[0]!;
    chosen.push({ nodeId, incarnation, dataCentre, ingress });
  }
  return chosen;
}

function isSameStart(
  a: Pick<Holder, "nodeId" | "incarnation">,
  b: Pick<Holder, "nodeId" | "incarnation">,
): boolean {
  return a.nodeId === b.nodeId && a.incarnation === b.incarnation;
}

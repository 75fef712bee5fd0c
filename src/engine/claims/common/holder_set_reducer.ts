/** Replicated state machine that selects the holders of a service's keys. */
import { hashText } from "../../../base/common/hash.ts";
import { countMajority } from "./claim_types.ts";
import type { Holder, HolderSet, HolderSets } from "./claim_types.ts";

/** A node that may become a holder. */
export interface Candidate extends Holder {
  /** A draining node remains a holder until the next set has copied. */
  readonly isDraining: boolean;
}

/** The holder sets of a service, and the reports about the proposed one. */
export interface ServiceHolders extends HolderSets {
  /** Node ids of the proposed set's members that have reported a complete copy. */
  readonly copied: readonly string[];
  /** The highest epoch that was proposed for the service. */
  readonly lastEpoch: number;
}

/** A change of the holder sets, as a serializable log entry. */
export type HolderCommand =
  | {
    readonly type: "HolderSetProposed";
    readonly service: string;
    readonly members: readonly Holder[];
    /** `lastEpoch` when the plan was made; 0 if there was no set. */
    readonly fromEpoch: number;
  }
  | {
    readonly type: "HolderCopied";
    readonly service: string;
    readonly epoch: number;
    readonly nodeId: string;
    readonly incarnation: number;
  };

/** Maximum number of holders of a service. */
export const MAX_SET_SIZE = 3;

/**
 * Applies a command; deterministic, so that all replicas agree. A plan that was
 * made from outdated sets changes nothing.
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
 * Plans a new set of members; undefined if the latest set is sufficient.
 * Available members are retained, which limits copying. A set never shrinks,
 * because a smaller one tolerates fewer losses.
 */
export function planHolders(
  current: ServiceHolders | undefined,
  candidates: readonly Candidate[],
  service: string,
): readonly Holder[] | undefined {
  const available = candidates.filter((candidate) => !candidate.isDraining);
  const latest = current?.proposed ?? current?.active;
  const size = chooseSetSize(available.length);
  if (size === 0 || size < (latest?.members.length ?? 0)) {
    return undefined;
  }
  const retained = (latest?.members ?? []).filter((member) =>
    available.some((candidate) => isSameInstance(candidate, member))
  );
  const isComplete = retained.length >= size;
  return isComplete
    ? undefined
    : chooseHolders({ service, available, retained, size });
}

/** Whether all required holders are among the members. */
export function hasAllHolders(
  members: readonly Holder[],
  required: readonly Holder[],
): boolean {
  return required.every((holder) =>
    members.some((member) => isSameInstance(member, holder))
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

/** Activates the proposed set once a majority of its members has copied. */
function activateSet(
  current: ServiceHolders,
  command: Extract<HolderCommand, { type: "HolderCopied" }>,
): ServiceHolders {
  const { proposed } = current;
  const isExpected = proposed?.epoch === command.epoch &&
    proposed.members.some((member) => isSameInstance(member, command));
  if (proposed === undefined || !isExpected) {
    return current;
  }
  const copied = [...new Set([...current.copied, command.nodeId])];
  if (copied.length < countMajority(proposed.members)) {
    return { ...current, copied };
  }
  return { ...current, active: proposed, proposed: undefined, copied: [] };
}

/** Returns an odd size: an even one needs more votes but tolerates no more losses. */
function chooseSetSize(nodeCount: number): number {
  const limit = Math.min(MAX_SET_SIZE, nodeCount);
  return limit % 2 === 0 ? Math.max(0, limit - 1) : limit;
}

/** Prefers nodes in other data centres, then ranks by rendezvous hashing. */
function chooseHolders(inputs: {
  readonly service: string;
  readonly available: readonly Candidate[];
  readonly retained: readonly Holder[];
  readonly size: number;
}): readonly Holder[] {
  const chosen = inputs.retained.slice(0, inputs.size);
  const ranked = inputs.available.toSorted((a, b) =>
    hashText(`${inputs.service}/${b.nodeId}`) -
    hashText(`${inputs.service}/${a.nodeId}`)
  );
  while (chosen.length < inputs.size) {
    const remaining = ranked.filter((candidate) =>
      chosen.every((holder) => holder.nodeId !== candidate.nodeId)
    );
    const inOtherDataCentre = remaining.find((candidate) =>
      chosen.every((holder) => holder.dataCentre !== candidate.dataCentre)
    );
    const { nodeId, incarnation, dataCentre, ingress } = inOtherDataCentre ??
      remaining[0]!;
    chosen.push({ nodeId, incarnation, dataCentre, ingress });
  }
  return chosen;
}

function isSameInstance(
  a: Pick<Holder, "nodeId" | "incarnation">,
  b: Pick<Holder, "nodeId" | "incarnation">,
): boolean {
  return a.nodeId === b.nodeId && a.incarnation === b.incarnation;
}

/**
 * How long a node may go by the keys that it knows.
 *
 * A revoked key must run nothing from some time after the revocation was
 * acknowledged, also at nodes that are cut off, suspended or restarted. A node
 * therefore serves keys only while a proof holds that its configuration was the
 * newest one. A proof counts from the moment at which the node asked for it:
 * the replica reads from a quorum after that, so whatever was acknowledged
 * before is in it, and neither the replica's clock nor the way back matters.
 *
 * Proof: let a request be sent at `s`, checked here at `t` >= `s`, and let the
 * last proof have been asked for at `p`. It passes only if `t - p` is below the
 * lease. If its key was revoked by a change that this node doesn't hold, that
 * change was acknowledged after `p`; so `s` is within the lease of the
 * acknowledgement. Nothing needs to be checked again once a request has passed.
 */

/** Both clocks at one moment, in milliseconds. */
export interface ClockReading {
  /** Not moved by steps of the wall clock; stands still in a suspension. */
  readonly steadyMs: number;
  /** Goes on in a suspension; may be stepped either way. */
  readonly wallMs: number;
}

/**
 * How far the clocks may part between two looks at them while the wall clock is
 * only slewed: 500 parts in a million over some seconds, and rounding.
 */
const SLEW_MS = 20;

/** Proofs that were asked for, and the newest one that came. */
export interface KeyLease {
  /** When each proof was asked for that may still come; oldest first. */
  readonly asked: ReadonlyMap<number, ClockReading>;
  readonly nextProof: number;
  readonly provedAt: ClockReading | undefined;
  /** When the clocks were looked at last. */
  readonly lookedAt: ClockReading | undefined;
}

/** A lease without any proof. */
export const NO_LEASE: KeyLease = {
  asked: new Map(),
  nextProof: 1,
  provedAt: undefined,
  lookedAt: undefined,
};

/**
 * Looks at the clocks, often and before each use of the lease. Where they have
 * parted, the VM was suspended or the wall clock stepped: how long ago a proof
 * was asked for isn't known any more, and another one is needed. A suspension
 * that a step hides to within `SLEW_MS` between two looks is the one case that
 * stays unseen.
 */
export function observeClocks(lease: KeyLease, now: ClockReading): KeyLease {
  const before = lease.lookedAt ?? now;
  const partedMs = (now.wallMs - before.wallMs) -
    (now.steadyMs - before.steadyMs);
  const seen = { ...lease, lookedAt: now };
  return Math.abs(partedMs) <= SLEW_MS
    ? seen
    : { ...seen, asked: new Map(), provedAt: undefined };
}

/** Questions that are remembered: those of some seconds. */
const MAX_ASKED = 16;

/** Notes that a proof is asked for now, under the number `nextProof`. */
export function askProof(lease: KeyLease, now: ClockReading): KeyLease {
  const asked = new Map(lease.asked).set(lease.nextProof, now);
  for (const number of asked.keys()) {
    if (asked.size > MAX_ASKED) {
      asked.delete(number);
    }
  }
  return { ...lease, asked, nextProof: lease.nextProof + 1 };
}

/** Takes the proof of a number; those before it are not waited for any more. */
export function acceptProof(lease: KeyLease, number: number): KeyLease {
  const provedAt = lease.asked.get(number);
  if (provedAt === undefined) {
    return lease;
  }
  const asked = new Map(
    [...lease.asked].filter(([other]) => other > number),
  );
  return { ...lease, asked, provedAt };
}

/**
 * Whether keys may be served for `validMs` after the last proof was asked for.
 * `now` was looked at with `observeClocks`.
 */
export function isLeaseValid(
  lease: KeyLease,
  validMs: number,
  now: ClockReading,
): boolean {
  const { provedAt } = lease;
  return provedAt !== undefined && now.steadyMs - provedAt.steadyMs < validMs;
}

/**
 * Whether the configuration held here was the newest one after a moment: only
 * then may a key be called unknown that came at that moment.
 */
export function isProvedSince(lease: KeyLease, steadyMs: number): boolean {
  return lease.provedAt !== undefined && lease.provedAt.steadyMs > steadyMs;
}

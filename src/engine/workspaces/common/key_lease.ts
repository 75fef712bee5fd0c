/**
 * The lease under which a node serves the keys of its configuration.
 *
 * A fixed time after a revocation is acknowledged, requests with the revoked
 * key must no longer run, even at nodes that are partitioned, suspended or
 * restarted. A node therefore serves keys only while it has a valid proof that
 * its configuration is the newest one. A proof is valid from the time at which
 * the node requested it: the control replica reads from a quorum after that, so
 * the read includes every change acknowledged before, and neither the replica's
 * clock nor the delay of the answer matters.
 *
 * Correctness: let a request be sent at `s` and checked here at `t` >= `s`, and
 * let the last proof have been requested at `p`. The request passes only if
 * `t - p` is below the lease. If its key was revoked by a change that this node
 * doesn't have, that change was acknowledged after `p`; so `s` is less than one
 * lease after the acknowledgement. A request that has passed needs no further
 * check.
 */

/** Readings of both clocks at one time, in milliseconds. */
export interface ClockReading {
  /**
   * Monotonic clock: unaffected by wall clock steps, stops during a suspension.
   */
  readonly steadyMs: number;
  /** Wall clock: continues during a suspension, may be stepped either way. */
  readonly wallMs: number;
}

/**
 * How far the clocks may diverge between two readings while the wall clock is
 * only slewed: 500 parts per million over a few seconds, plus rounding.
 */
const MAX_SLEW_MS = 20;

/** The proofs requested by a node, and the newest one received. */
export interface KeyLease {
  /** When each outstanding proof was requested, by its number; oldest first. */
  readonly pendingProofs: ReadonlyMap<number, ClockReading>;
  readonly nextProofNumber: number;
  /**
   * When the newest received proof was requested; undefined without a proof.
   */
  readonly provedAt: ClockReading | undefined;
  /** The last reading of the clocks; undefined before the first one. */
  readonly observedAt: ClockReading | undefined;
}

/** A lease without any proof. */
export const INITIAL_LEASE: KeyLease = {
  pendingProofs: new Map(),
  nextProofNumber: 1,
  provedAt: undefined,
  observedAt: undefined,
};

/**
 * Records a reading of the clocks. Must be called at short intervals and before
 * each use of the lease. If the clocks have diverged since the last reading,
 * the VM was suspended or the wall clock was stepped: the age of each proof is
 * no longer known, and a new one is needed. The only case that remains
 * undetected is a suspension that a step back compensates to within
 * `MAX_SLEW_MS` between two readings.
 */
export function observeClocks(lease: KeyLease, now: ClockReading): KeyLease {
  const previous = lease.observedAt ?? now;
  const divergenceMs = (now.wallMs - previous.wallMs) -
    (now.steadyMs - previous.steadyMs);
  const observed = { ...lease, observedAt: now };
  return Math.abs(divergenceMs) <= MAX_SLEW_MS
    ? observed
    : { ...observed, pendingProofs: new Map(), provedAt: undefined };
}

/** Limit of outstanding proofs that are tracked; covers a few seconds. */
const MAX_PENDING_PROOFS = 16;

/** Records that a proof is requested now, with the number `nextProofNumber`. */
export function requestProof(lease: KeyLease, now: ClockReading): KeyLease {
  const pendingProofs = new Map(lease.pendingProofs).set(
    lease.nextProofNumber,
    now,
  );
  for (const number of pendingProofs.keys()) {
    if (pendingProofs.size > MAX_PENDING_PROOFS) {
      pendingProofs.delete(number);
    }
  }
  return {
    ...lease,
    pendingProofs,
    nextProofNumber: lease.nextProofNumber + 1,
  };
}

/** Accepts the proof with a number, and stops waiting for earlier ones. */
export function acceptProof(lease: KeyLease, number: number): KeyLease {
  const provedAt = lease.pendingProofs.get(number);
  if (provedAt === undefined) {
    return lease;
  }
  const pendingProofs = new Map(
    [...lease.pendingProofs].filter(([other]) => other > number),
  );
  return { ...lease, pendingProofs, provedAt };
}

/**
 * Whether keys may be served at `now`: less than `validMs` milliseconds after
 * the newest proof was requested. `now` must have been passed to
 * `observeClocks`.
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
 * Whether the configuration of this node was the newest one at some time after
 * `steadyMs`. Only then may a key that arrived at `steadyMs` be refused as
 * unknown.
 */
export function isProvedSince(lease: KeyLease, steadyMs: number): boolean {
  return lease.provedAt !== undefined && lease.provedAt.steadyMs > steadyMs;
}

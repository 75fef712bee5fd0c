/** Decides at an entry node whether a request's key grants access. */
import {
  acceptProof,
  INITIAL_LEASE,
  isLeaseValid,
  isProvedSince,
  observeClocks,
  requestProof,
} from "./key_lease.ts";
import type { ClockReading, KeyLease } from "./key_lease.ts";
import { buildKeyIndex } from "./workspace.ts";
import type { KeyDigest, KeyIndex, Workspace } from "./workspace.ts";

/** Result of checking the key of a request whose route requires one. */
export type Access =
  | { readonly type: "Granted"; readonly workspace: Workspace }
  /**
   * The newest configuration, as proved since the request arrived, lacks the
   * key.
   */
  | { readonly type: "UnknownKey" }
  /**
   * The next proof decides: none has been received yet, or none that was
   * requested after the key arrived.
   */
  | { readonly type: "Unsure" }
  /** The lease on the keys has expired: the key may have been revoked. */
  | { readonly type: "Lapsed" };

/** Options of `KeyAccess`. */
export interface KeyAccessOptions {
  /**
   * Time in milliseconds for which keys are served; it starts when the last
   * received proof that the configuration is the newest one was requested.
   * Undefined for no limit.
   */
  readonly leaseMs: number | undefined;
  readonly readClocks: () => ClockReading;
  readonly computeDigest: (key: string) => KeyDigest;
}

/** The keys in force and the lease under which they are served. */
export class KeyAccess {
  readonly #options: KeyAccessOptions;
  #index: KeyIndex = new Map();
  #lease: KeyLease = INITIAL_LEASE;

  constructor(options: KeyAccessOptions) {
    this.#options = options;
  }

  /** Replaces the workspaces, and thereby the keys, that are in force. */
  replaceWorkspaces(workspaces: readonly Workspace[]): void {
    this.#index = buildKeyIndex(workspaces);
  }

  /**
   * Records that a proof is requested now; returns the number to send with it.
   */
  requestProof(): number {
    const now = this.#observeClocks();
    const number = this.#lease.nextProofNumber;
    this.#lease = requestProof(this.#lease, now);
    return number;
  }

  /**
   * Accepts the proof that the configuration in force here is the newest one.
   */
  acceptProof(number: number): void {
    this.#observeClocks();
    this.#lease = acceptProof(this.#lease, number);
  }

  /**
   * Compares the clocks, so that suspensions and clock steps are detected.
   * Must be called at short intervals.
   */
  tick(): void {
    this.#observeClocks();
  }

  /** Whether the lease allows keys to be served now. */
  get isValid(): boolean {
    const { leaseMs } = this.#options;
    const now = this.#observeClocks();
    return leaseMs === undefined || isLeaseValid(this.#lease, leaseMs, now);
  }

  /**
   * Checks a key; `arrivedAtMs` is the steady clock's time at which the request
   * arrived, in milliseconds.
   */
  check(key: string | undefined, arrivedAtMs: number): Access {
    if (!this.isValid) {
      const hasProof = this.#lease.provedAt !== undefined;
      return { type: hasProof ? "Lapsed" : "Unsure" };
    }
    const workspace = key === undefined
      ? undefined
      : this.#index.get(this.#options.computeDigest(key));
    if (workspace !== undefined) {
      return { type: "Granted", workspace };
    }
    return isProvedSince(this.#lease, arrivedAtMs)
      ? { type: "UnknownKey" }
      : { type: "Unsure" };
  }

  #observeClocks(): ClockReading {
    const now = this.#options.readClocks();
    this.#lease = observeClocks(this.#lease, now);
    return now;
  }
}

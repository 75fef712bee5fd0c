/** Decides at the entry whether a request's key lets it in. */
import {
  acceptProof,
  askProof,
  isLeaseValid,
  isProvedSince,
  NO_LEASE,
  observeClocks,
} from "./key_lease.ts";
import type { ClockReading, KeyLease } from "./key_lease.ts";
import { buildKeyIndex } from "./workspace.ts";
import type { KeyDigest, KeyIndex, Workspace } from "./workspace.ts";

/** What becomes of a request that needs a key. */
export type Access =
  | { readonly type: "Granted"; readonly workspace: Workspace }
  /** No configuration in force has the key. */
  | { readonly type: "UnknownKey" }
  /** A proof to come may tell: there is none, or none since the key came. */
  | { readonly type: "Unsure" }
  /** Whether the key still holds can't be known. */
  | { readonly type: "Lapsed" };

/** What the decisions are made from. */
export interface KeyAccessOptions {
  /**
   * How long keys are served after the last proof that the configuration is the
   * newest one, in milliseconds; undefined: for ever.
   */
  readonly leaseMs: number | undefined;
  readonly readClocks: () => ClockReading;
  readonly computeDigest: (key: string) => KeyDigest;
}

/** Holds the keys in force and the lease on them. */
export class KeyAccess {
  readonly #options: KeyAccessOptions;
  #index: KeyIndex = new Map();
  #lease: KeyLease = NO_LEASE;

  constructor(options: KeyAccessOptions) {
    this.#options = options;
  }

  /** Puts the workspaces of another configuration in force. */
  replaceWorkspaces(workspaces: readonly Workspace[]): void {
    this.#index = buildKeyIndex(workspaces);
  }

  /** Notes that a proof is asked for; its number goes with the question. */
  askProof(): number {
    const now = this.#look();
    const number = this.#lease.nextProof;
    this.#lease = askProof(this.#lease, now);
    return number;
  }

  /** Takes the proof that the configuration in force here is the newest. */
  acceptProof(number: number): void {
    this.#look();
    this.#lease = acceptProof(this.#lease, number);
  }

  /** Looks at the clocks; to be called often. */
  tick(): void {
    this.#look();
  }

  /** Whether keys may be served now. */
  get isValid(): boolean {
    const { leaseMs } = this.#options;
    const now = this.#look();
    return leaseMs === undefined || isLeaseValid(this.#lease, leaseMs, now);
  }

  /** Decides on a key that came at a moment of the steady clock. */
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

  #look(): ClockReading {
    const now = this.#options.readClocks();
    this.#lease = observeClocks(this.#lease, now);
    return now;
  }
}

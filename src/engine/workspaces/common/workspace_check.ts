/** Checks a request against the keys and limits of workspaces. */
import type { KeyAccess } from "./key_access.ts";
import type { QuotaGate } from "./quota_gate.ts";
import type { Workspace } from "./workspace.ts";

/** Why a request that requires a key is refused. */
export type EntryRefusal =
  /** The newest configuration lacks its key. */
  | { readonly type: "UnknownKey" }
  /** The demand of its workspace exceeds the limit. */
  | {
    readonly type: "OverLimit";
    readonly workspace: string;
    /** Share of the workspace's requests that is admitted, 0 to 1. */
    readonly share: number;
    readonly retryAfterMs: number;
  }
  /** The lease on the keys has expired: the key may have been revoked. */
  | { readonly type: "LeaseLapsed"; readonly retryAfterMs: number };

/** Result of checking a request that requires a key. */
export type EntryCheck =
  | { readonly type: "Entered"; readonly workspace: Workspace }
  /**
   * A proof or the shares have yet to be received from a control replica; the
   * request must be checked again then.
   */
  | { readonly type: "Waiting"; readonly reason: string }
  | { readonly type: "Refused"; readonly refusal: EntryRefusal };

/** Time after which callers retry at a node whose lease on keys has expired. */
const LEASE_RETRY_MS = 500;
const LEASE_LAPSED: EntryCheck = {
  type: "Refused",
  refusal: { type: "LeaseLapsed", retryAfterMs: LEASE_RETRY_MS },
};

/**
 * Checks the key first, then the limit, so that the caller gets the first
 * cause.
 */
export class WorkspaceCheck {
  readonly #access: KeyAccess;
  readonly #quotas: QuotaGate;

  constructor(access: KeyAccess, quotas: QuotaGate) {
    this.#access = access;
    this.#quotas = quotas;
  }

  /**
   * Checks a request by its head; `arrivedAtMs` is the steady clock's time at
   * which it arrived, in milliseconds.
   */
  check(key: string | undefined, arrivedAtMs: number): EntryCheck {
    const access = this.#access.check(key, arrivedAtMs);
    switch (access.type) {
      case "Granted":
        return this.#checkLimit(access.workspace);
      case "UnknownKey":
        return { type: "Refused", refusal: access };
      case "Unsure":
        return { type: "Waiting", reason: "keys not proved" };
      case "Lapsed":
        return LEASE_LAPSED;
    }
  }

  /**
   * Checks the lease again once the body is complete: receiving it may have
   * taken longer than the lease under which the head was checked.
   */
  recheckLease(workspace: Workspace): EntryCheck {
    return this.#access.isValid ? { type: "Entered", workspace } : LEASE_LAPSED;
  }

  /** Records that an admitted request was not run by any backend server. */
  recordNotRun(workspace: Workspace): void {
    this.#quotas.recordNotRun(workspace);
  }

  #checkLimit(workspace: Workspace): EntryCheck {
    const decision = this.#quotas.decide(workspace);
    switch (decision.type) {
      case "LetIn":
        return { type: "Entered", workspace };
      case "Unsure":
        return { type: "Waiting", reason: "limits not known yet" };
      case "OverLimit":
        return {
          type: "Refused",
          refusal: { ...decision, workspace: workspace.name },
        };
    }
  }
}

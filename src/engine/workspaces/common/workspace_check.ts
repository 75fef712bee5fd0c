/** Checks a request against the keys and the limits of workspaces, at once. */
import type { KeyAccess } from "./key_access.ts";
import type { QuotaGate } from "./quota_gate.ts";
import type { Workspace } from "./workspace.ts";

/** Why a request that needs a key doesn't go on. */
export type EntryRefusal =
  /** No configuration in force has its key. */
  | { readonly type: "UnknownKey" }
  /** Its workspace asks for more than its limit. */
  | {
    readonly type: "OverLimit";
    readonly workspace: string;
    /** Part of the workspace's requests that goes on. */
    readonly share: number;
    readonly retryAfterMs: number;
  }
  /** Whether its key still holds can't be known here. */
  | { readonly type: "LeaseLapsed"; readonly retryAfterMs: number };

/** What becomes of a request that needs a key. */
export type EntryCheck =
  | { readonly type: "Entered"; readonly workspace: Workspace }
  /** Control has yet to say; the request is to be checked again then. */
  | { readonly type: "Waiting"; readonly reason: string }
  | { readonly type: "Refused"; readonly refusal: EntryRefusal };

/** When callers come back to a node that can't know which keys hold. */
const LAPSED_RETRY_MS = 500;
const LAPSED: EntryCheck = {
  type: "Refused",
  refusal: { type: "LeaseLapsed", retryAfterMs: LAPSED_RETRY_MS },
};

/** Decides in the order of what a caller is to hear first: key, then limit. */
export class WorkspaceCheck {
  readonly #access: KeyAccess;
  readonly #quotas: QuotaGate;

  constructor(access: KeyAccess, quotas: QuotaGate) {
    this.#access = access;
    this.#quotas = quotas;
  }

  /** Checks a request by its head, as it came at a moment of the steady clock. */
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
        return LAPSED;
    }
  }

  /**
   * Checks again once the body is whole: it may have taken longer than the
   * lease that its head came under.
   */
  checkWhole(workspace: Workspace): EntryCheck {
    return this.#access.isValid ? { type: "Entered", workspace } : LAPSED;
  }

  /** A request that had entered has run nowhere. */
  giveBack(workspace: Workspace): void {
    this.#quotas.giveBack(workspace);
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

/** Settings of a relay node. */
import type { LinkTiming } from "../engine/link/common/link_reducer.ts";
import type { QuotaTerms } from "../engine/workspaces/common/quota_shares.ts";
import type { RetryBudgetLimits } from "../engine/relay/common/entry_budget.ts";

/** Settings that a relay daemon starts with. */
export interface RelaySettings {
  readonly id: string;
  readonly vm: string;
  readonly region: string;
  readonly dataCentre: string;
  /** Service of this node until the backend server announces its own. */
  readonly service: string;
  /** `host:port` of the listener for callers on this VM. */
  readonly callers: string;
  /** `host:port` of the listener for operators: status and metrics. */
  readonly operator: string;
  /**
   * `host:port` of the listener for other nodes; also the announced address.
   */
  readonly mesh: string;
  /** Link addresses of control replicas. */
  readonly replicas: readonly string[];
  readonly linkPace: LinkTiming;
  readonly budget: RetryBudgetLimits;
  /**
   * How long keys are served without a new proof, in ms; undefined: no limit.
   */
  readonly keyLeaseMs: number | undefined;
  /**
   * Whether gates measure their capacity, and root requests are planned by it;
   * otherwise they are refused by the pressure.
   */
  readonly plansByCapacity: boolean;
  /** Undefined if workspace quotas are not enforced. */
  readonly quotaTerms: QuotaTerms | undefined;
  /** Memory that the process may use, in bytes. */
  readonly memoryBytes: number;
  /** Longest duration of a drain in ms; calls still open then are abandoned. */
  readonly drainMs: number;
}

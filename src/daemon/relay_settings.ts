/** What a relay node is told at its start. */
import type { LinkTiming } from "../engine/link/common/link_reducer.ts";
import type { QuotaTerms } from "../engine/workspaces/common/quota_shares.ts";
import type { RetryBudgetLimits } from "../engine/relay/common/entry_budget.ts";

/** What a relay daemon is built from. */
export interface RelaySettings {
  readonly id: string;
  readonly vm: string;
  readonly region: string;
  readonly dataCentre: string;
  /** Service of the backend server until that announces itself. */
  readonly service: string;
  /** `host:port` for callers on this VM. */
  readonly callers: string;
  /** `host:port` for operators: status, metrics. */
  readonly operator: string;
  /** `host:port` for other nodes; also the address that they are told. */
  readonly mesh: string;
  /** Link addresses of control replicas. */
  readonly replicas: readonly string[];
  readonly linkPace: LinkTiming;
  readonly budget: RetryBudgetLimits;
  /** How long keys are served without a proof that they hold; undefined: on. */
  readonly keyLeaseMs: number | undefined;
  /** Undefined where limits of workspaces are not kept. */
  readonly quotaTerms: QuotaTerms | undefined;
  /** A drain ends by then, whatever is in progress. */
  readonly drainMs: number;
}

/** What a backend server announces about itself to the node beside it. */
import type { IpEndpoint } from "../../../base/common/ip_endpoint.ts";

/** Periodic announcement of a backend server's state. */
export interface Heartbeat {
  readonly instanceId: string;
  /**
   * Wall-clock start time in milliseconds, which distinguishes process
   * instances that share an id; undefined if not sent.
   */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  /** Where it serves requests. */
  readonly address: IpEndpoint;
  readonly dataCentre: string;
  /** Requests that it can run concurrently; at least 1. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Increases with each heartbeat of a process instance. */
  readonly sequence: number;
  /** Remaining warm-up time after its start, in milliseconds. */
  readonly remainingWarmUpMs: number;
}

/** Notice that a backend server has left. */
export type Departure = Pick<Heartbeat, "instanceId" | "startedAtMs">;

/** What a backend server says about its id when it is asked. */
export type InstanceAnswer =
  | { readonly type: "Named"; readonly instanceId: string }
  /** It isn't the instance that it was asked for. */
  | { readonly type: "Denied" }
  | { readonly type: "Unknown"; readonly reason: string };

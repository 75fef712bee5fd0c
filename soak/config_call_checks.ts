/**
 * Checks of a soak test of configurations: by which of them nodes handled
 * requests.
 */
import type { ConfigCall } from "./config_callers.ts";
import { findRoute } from "./config_document.ts";
import type { SoakDocument } from "./config_document.ts";
import type { ConfigHistory, PossibleOrder } from "./config_history.ts";

/** What is known of the backend servers. */
export interface BackendRecord {
  /** Service of each backend server, by its address. */
  readonly services: ReadonlyMap<string, string>;
  /** Number of runs of each request id. */
  readonly runs: ReadonlyMap<string, number>;
}

/** Time from an acknowledgement until undisturbed nodes follow it in calm. */
const APPLY_MS = 2_000;
/** Time from one answer until no older configuration may show. */
const ROLLBACK_SLACK_MS = 250;
const SLOW_ROLLBACK_SLACK_MS = 8 * ROLLBACK_SLACK_MS;

/** Judges calls in the order in which they ended. */
export class CallJudge {
  /**
   * Calls at undisturbed nodes that were handled by an older configuration
   * `APPLY_MS` after the newer one, beside disturbed replicas.
   */
  lateBesideFaults = 0;
  /**
   * Longest time from an acknowledgement to a call at an undisturbed node that
   * was handled by an older configuration.
   */
  maxLagMs = 0;
  readonly #history: ConfigHistory;
  readonly #backends: BackendRecord;
  /** What each process has shown, in the order of the answers. */
  readonly #shown = new Map<string, { atMs: number; version: number }[]>();

  constructor(history: ConfigHistory, backends: BackendRecord) {
    this.#history = history;
    this.#backends = backends;
  }

  /** Lists what contradicts all configurations that may be in force. */
  listViolations(calls: readonly ConfigCall[]): readonly string[] {
    return calls.filter(({ kind }) => kind === "whole")
      .toSorted((a, b) => a.endedAtMs - b.endedAtMs)
      .flatMap((call) =>
        [this.#findConfigFault(call), this.#findRunFault(call)]
          .filter((fault) => fault !== undefined)
          .map((fault) => `${fault}: ${formatCall(call)}`)
      );
  }

  #findConfigFault(call: ConfigCall): string | undefined {
    const { status, sentAtMs, endedAtMs } = call;
    if (status !== 200 && status !== 404 && status !== 413) {
      return undefined;
    }
    const matching = this.#history.possible.filter((order) =>
      order.sentAtMs <= endedAtMs && this.#isAnsweredBy(call, order.document)
    );
    if (matching.length === 0) {
      return "no configuration explains it";
    }
    const newest = matching.at(-1)!.document.version;
    const interval = { fromMs: sentAtMs, toMs: endedAtMs };
    const isCalm = this.#history.isNodeCalm(call.node, interval);
    const floor = this.#getFloor(call, isCalm);
    if (newest < floor) {
      return `older than version ${floor}, which the process had shown`;
    }
    const late = isCalm ? this.#findLate(call, newest) : undefined;
    if (late === undefined) {
      this.#raiseFloor(call, floor, matching);
    }
    return late;
  }

  #findRunFault({ requestId, path, endedAtMs }: ConfigCall) {
    const count = this.#backends.runs.get(requestId) ?? 0;
    if (count < 2) {
      return undefined;
    }
    const limits = this.#history.possible
      .filter(({ sentAtMs }) => sentAtMs <= endedAtMs)
      .map(({ document }) => findRoute(document, path))
      .filter((route) => route !== undefined)
      .map(({ type, attempts }) => type === "idempotent" ? attempts : 1);
    return count > Math.max(...limits)
      ? `run ${count} times, more than any configuration allows`
      : undefined;
  }

  /** Returns how a call at an undisturbed node was handled too late. */
  #findLate(
    { sentAtMs, endedAtMs }: ConfigCall,
    version: number,
  ): string | undefined {
    const newer = this.#history.possible
      .filter(({ document }) => document.version > version);
    const acknowledgedAtMs = Math.min(
      ...newer.map((order) => order.acknowledgedAtMs),
    );
    const interval = { fromMs: sentAtMs, toMs: endedAtMs };
    const boundMs = this.#history.getBoundMs(interval);
    const lagMs = sentAtMs - acknowledgedAtMs;
    if (lagMs <= 0 || boundMs === Infinity) {
      return undefined;
    }
    this.maxLagMs = Math.max(this.maxLagMs, Math.round(lagMs));
    if (lagMs <= boundMs) {
      this.lateBesideFaults += lagMs > APPLY_MS ? 1 : 0;
      return undefined;
    }
    return `handled by version ${version} ${Math.round(lagMs)} ms after a ` +
      `newer one was acknowledged, allowed are ${boundMs}`;
  }

  #isAnsweredBy(
    { status, backend, bodyBytes, path }: ConfigCall,
    document: SoakDocument,
  ): boolean {
    const isTooLarge = bodyBytes > document.limits.maxBodyBytes;
    if (status === 413) {
      return isTooLarge;
    }
    const route = findRoute(document, path);
    if (route === undefined || status === 404) {
      return route === undefined && status === 404;
    }
    const service = this.#backends.services.get(backend ?? "");
    return !isTooLarge &&
      route.targets.some((target) => target.service === service);
  }

  /** Newest version that the process had shown some time before a call. */
  #getFloor({ node, sentAtMs }: ConfigCall, isCalm: boolean): number {
    const slackMs = isCalm ? ROLLBACK_SLACK_MS : SLOW_ROLLBACK_SLACK_MS;
    const shown = this.#shown.get(this.#history.getProcess(node, sentAtMs)) ??
      [];
    return shown.findLast(({ atMs }) => atMs <= sentAtMs - slackMs)?.version ??
      0;
  }

  #raiseFloor(
    { node, sentAtMs, endedAtMs }: ConfigCall,
    floor: number,
    matching: readonly PossibleOrder[],
  ): void {
    const { version } = matching
      .find(({ document }) => document.version >= floor)!.document;
    const key = this.#history.getProcess(node, sentAtMs);
    const shown = this.#shown.get(key) ?? [];
    this.#shown.set(key, shown);
    if (version > (shown.at(-1)?.version ?? 0)) {
      shown.push({ atMs: endedAtMs, version });
    }
  }
}

function formatCall(call: ConfigCall): string {
  const { requestId, node, path, bodyBytes, sentAtMs, endedAtMs } = call;
  return `${requestId} ${path} with ${bodyBytes} bytes at ${node}, answered ` +
    `${call.status} by ${call.backend ?? "no server"}, ` +
    `${Math.round(sentAtMs)} to ${Math.round(endedAtMs)} ms`;
}

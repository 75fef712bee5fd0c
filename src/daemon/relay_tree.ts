/**
 * Call tree estimates of a relay node, and the reports of them to other nodes.
 */
import {
  CallerSpread,
  SpreadCounter,
} from "../engine/admission/common/caller_spread.ts";
import { CallRates } from "../engine/admission/common/call_rates.ts";
import { CallTree } from "../engine/admission/common/call_tree.ts";
import type {
  Callee,
  EstimatedCallee,
} from "../engine/admission/common/call_tree.ts";
import { CoincidenceCounter } from "../engine/admission/common/coincidence.ts";
import type {
  CallerReport,
  DownstreamPressure,
  LoadFigures,
  LoadReported,
} from "../engine/mesh/common/frames.ts";
import type { Bottleneck } from "../engine/relay/common/member.ts";
import type { MemberTable } from "../engine/relay/common/member_table.ts";
import { RepeatedRuns } from "../engine/relay/common/repeated_runs.ts";
import type { BackendRun } from "../engine/relay/common/repeated_runs.ts";

/** Options of the call tree. */
export interface RelayTreeOptions {
  readonly members: MemberTable;
  /** Returns the service of the own backend server. */
  readonly getService: () => string;
  /** Whether to estimate what runs cost the services that they call. */
  readonly estimatesCosts: boolean;
}

/**
 * Interval of reports of where calls came from. They may be rarer than those of
 * load: about ten calls are enough for an estimate.
 */
const CALLER_REPORT_INTERVAL_MS = 500;
/**
 * A downstream capacity of more than this ratio to the demand is reported with
 * the callers only: it isn't needed for decisions.
 */
const REPORTED_RATIO = 1.3;
/**
 * Runs that seem to make fewer calls than this are taken to make none: long runs
 * that call nothing reach 0.6 while load rises, and would be refused for a
 * service that they don't use.
 */
const MIN_CALLS_PER_RUN = 0.7;

/** Records the observations of one node in its call tree. */
export class RelayTree {
  readonly #options: RelayTreeOptions;
  readonly #coincidences: CoincidenceCounter;
  readonly #spread = new CallerSpread();
  readonly #arrivals = new SpreadCounter();
  readonly #repeated = new RepeatedRuns();
  readonly #tree: CallTree;
  #callersReportedAtMs = 0;
  #hadPressure = false;

  constructor(options: RelayTreeOptions) {
    this.#options = options;
    this.#coincidences = new CoincidenceCounter(
      options.estimatesCosts ? new CallRates() : undefined,
    );
    this.#tree = new CallTree({
      coincidences: this.#coincidences,
      spread: this.#spread,
      getService: options.getService,
      countNodes: () => options.members.countByService(),
    });
  }

  /** Records the start (1) or end (-1) of a run at the own backend server. */
  recordRun(run: BackendRun, change: 1 | -1, nowMs: number): void {
    this.#coincidences.recordRun(run.route, change, nowMs);
    if (change === 1) {
      this.#repeated.recordStart(run, nowMs);
    }
  }

  /**
   * Records a call at the own gate, with the service of the VM it came from.
   */
  recordArrival(route: string, callerService: string, nowMs: number): void {
    this.#arrivals.recordCall(route, callerService, nowMs);
  }

  /** Receives the report of another gate of where its calls came from. */
  receiveCallerReport(
    address: string,
    report: CallerReport,
    nowMs: number,
  ): void {
    this.#spread.receiveReport(address, report, nowMs);
  }

  /**
   * Records a call from this VM. Returns whether a run of the own backend server
   * made it, and if so the probability that this run was a repeated one.
   */
  recordCall(
    call: Callee,
    nowMs: number,
  ): { readonly isNested: boolean; readonly repeatShare: number } {
    const isNested = this.#tree.recordCall(call, nowMs);
    if (!isNested) {
      return { isNested, repeatShare: 0 };
    }
    const parents = this.#tree.listParents(call.route, nowMs);
    const repeatShare = this.#repeated.computeRepeatShare(parents, nowMs);
    return { isNested, repeatShare };
  }

  /** Creates the report of the own gate, for local use. */
  createOwnReport(load: LoadFigures, nowMs: number): LoadReported {
    const callers = this.#arrivals.createReport(nowMs);
    const below = this.#listDownstream(nowMs);
    return { type: "LoadReported", load, below, callers };
  }

  /**
   * Creates the periodic report to other nodes. Omits the call tree when
   * neither pressure nor callers are to be reported: answers on the link carry
   * the load, and a report of the tree alone would wake both ends of each link
   * ten times a second.
   */
  createPeriodicReport(load: LoadFigures, nowMs: number): LoadReported {
    const callers = this.#takeCallerReport(nowMs);
    const below = this.#listDownstream(nowMs);
    const hasPressure = below.some(([, pressure, , ratio = 1]) =>
      pressure > 0 || ratio < REPORTED_RATIO
    );
    const isTreeNeeded = hasPressure || this.#hadPressure || callers.length > 0;
    this.#hadPressure = hasPressure;
    return {
      type: "LoadReported",
      load,
      below: isTreeNeeded ? below : undefined,
      callers,
    };
  }

  /**
   * Lists the highest downstream pressure, and the downstream service with the
   * least capacity for its demand, for each route whose runs make calls.
   */
  #listDownstream(nowMs: number): readonly DownstreamPressure[] {
    const { members } = this.#options;
    return this.#tree.listEdges(nowMs).map(([parent, callees]) => {
      const paths = callees.map(({ service, route }) =>
        members.computePathPressure(service, route, nowMs)
      );
      const worst = paths.reduce((a, b) => b.pressure > a.pressure ? b : a);
      const pressure = Math.round(worst.pressure * 1_000) / 1_000;
      const pressureAgeMs = worst.pressure === 0
        ? 0
        : Math.round(nowMs - worst.reportedAtMs);
      const bottleneck = this.#findBottleneck(callees, nowMs);
      if (bottleneck === undefined) {
        return [parent, pressure, pressureAgeMs] as const;
      }
      const { ratio, costMs, service, reportedAtMs } = bottleneck;
      return [
        parent,
        pressure,
        Math.max(pressureAgeMs, Math.round(nowMs - reportedAtMs)),
        Math.round(ratio * 100) / 100,
        Math.round(costMs),
        service,
      ] as const;
    });
  }

  /** Finds the bottleneck of a route's calls, with the cost of one run there. */
  #findBottleneck(
    callees: readonly EstimatedCallee[],
    nowMs: number,
  ): Bottleneck | undefined {
    const { members } = this.#options;
    const found = callees.flatMap(({ service, route, callsPerRun }) => {
      const one = members.findBottleneck(service, route, nowMs);
      return one === undefined || callsPerRun < MIN_CALLS_PER_RUN
        ? []
        : [{ ...one, costMs: one.costMs * callsPerRun }];
    });
    if (found.length === 0) {
      return undefined;
    }
    const worst = found.reduce((a, b) => b.ratio < a.ratio ? b : a);
    const costMs = found.filter(({ service }) => service === worst.service)
      .reduce((sum, one) => sum + one.costMs, 0);
    return { ...worst, costMs };
  }

  /** Returns the caller report when it is due, else an empty one. */
  #takeCallerReport(nowMs: number): CallerReport {
    if (nowMs - this.#callersReportedAtMs < CALLER_REPORT_INTERVAL_MS) {
      return [];
    }
    this.#callersReportedAtMs = nowMs;
    return this.#arrivals.createReport(nowMs);
  }
}

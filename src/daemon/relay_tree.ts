/** What a relay node learns of the call tree, and tells other nodes of it. */
import {
  CallerSpread,
  SpreadCounter,
} from "../engine/admission/common/caller_spread.ts";
import { CallTree } from "../engine/admission/common/call_tree.ts";
import type { Callee } from "../engine/admission/common/call_tree.ts";
import { CoincidenceCounter } from "../engine/admission/common/coincidence.ts";
import type {
  CallerReport,
  DownstreamPressure,
  LoadFigures,
  LoadReported,
} from "../engine/mesh/common/frames.ts";
import type { MemberTable } from "../engine/relay/common/member_table.ts";
import { RepeatedRuns } from "../engine/relay/common/repeated_runs.ts";
import type { BackendRun } from "../engine/relay/common/repeated_runs.ts";

/** What the tree is built from. */
export interface RelayTreeOptions {
  readonly members: MemberTable;
  /** Service of the own backend server. */
  readonly getService: () => string;
}

/** How often nodes say where calls came from: some ten calls are enough. */
const CALLERS_MS = 500;

/** Feeds the observations of one node into its call tree. */
export class RelayTree {
  readonly #options: RelayTreeOptions;
  readonly #coincidences = new CoincidenceCounter();
  readonly #spread = new CallerSpread();
  readonly #arrivals = new SpreadCounter();
  readonly #repeated = new RepeatedRuns();
  readonly #tree: CallTree;
  #callersSaidAtMs = 0;
  #hadPressure = false;

  constructor(options: RelayTreeOptions) {
    this.#options = options;
    this.#tree = new CallTree({
      coincidences: this.#coincidences,
      spread: this.#spread,
      getService: options.getService,
      countNodes: () => options.members.countByService(),
    });
  }

  /** A run begins (1) or ends (-1) at the own backend server. */
  noteRun(run: BackendRun, change: 1 | -1, nowMs: number): void {
    this.#coincidences.noteRun(run.route, change, nowMs);
    if (change === 1) {
      this.#repeated.noteBegun(run, nowMs);
    }
  }

  /** A call came to the own gate that began on a VM of a service. */
  noteArrival(route: string, callerService: string, nowMs: number): void {
    this.#arrivals.note(route, callerService, nowMs);
  }

  /** The gate at an address says where the calls there came from. */
  hear(address: string, report: CallerReport, nowMs: number): void {
    this.#spread.hear(address, report, nowMs);
  }

  /** Notes a call from this VM; tells whether a run of the server made it. */
  observe(
    call: Callee,
    nowMs: number,
  ): { readonly isNested: boolean; readonly repeatShare: number } {
    const isNested = this.#tree.observe(call, nowMs);
    if (!isNested) {
      return { isNested, repeatShare: 0 };
    }
    const parents = this.#tree.listParents(call.route, nowMs);
    const repeatShare = this.#repeated.computeShare(parents, nowMs);
    return { isNested, repeatShare };
  }

  /** Creates the report that the own node takes like those of others. */
  createOwnReport(load: LoadFigures, nowMs: number): LoadReported {
    const callers = this.#arrivals.createReport(nowMs);
    const below = this.#listBelow(nowMs);
    return { type: "LoadReported", load, below, callers };
  }

  /**
   * Creates what other nodes don't know yet. Without pressure the answers on a
   * link say enough; a report of the call tree alone would wake both ends of
   * each link ten times a second.
   */
  createNews(load: LoadFigures, nowMs: number): LoadReported {
    const callers = this.#takeCallers(nowMs);
    const below = this.#listBelow(nowMs);
    const hasPressure = below.some(([, pressure]) => pressure > 0);
    const isNews = hasPressure || this.#hadPressure || callers.length > 0;
    this.#hadPressure = hasPressure;
    return {
      type: "LoadReported",
      load,
      below: isNews ? below : undefined,
      callers,
    };
  }

  /** Lists the pressure below each route whose requests make calls here. */
  #listBelow(nowMs: number): readonly DownstreamPressure[] {
    const { members } = this.#options;
    return this.#tree.listEdges(nowMs).map(([parent, callees]) => {
      const ways = callees.map(({ service, route }) =>
        members.computeWayPressure(service, route, nowMs)
      );
      const worst = ways.reduce((a, b) => b.pressure > a.pressure ? b : a);
      const { pressure, saidAtMs } = worst;
      return [
        parent,
        Math.round(pressure * 1_000) / 1_000,
        pressure === 0 ? 0 : Math.round(nowMs - saidAtMs),
      ] as const;
    });
  }

  /** Takes what is to be said of callers, more seldom than the load. */
  #takeCallers(nowMs: number): CallerReport {
    if (nowMs - this.#callersSaidAtMs < CALLERS_MS) {
      return [];
    }
    this.#callersSaidAtMs = nowMs;
    return this.#arrivals.createReport(nowMs);
  }
}

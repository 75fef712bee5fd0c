/** Retries that this node may send to each service, by a sliding window. */

/** The budget that the nodes of a fleet share. */
export interface BudgetTerms {
  /** Retries as a share of the first attempts. */
  readonly ratio: number;
  /** Retries that all nodes together have in any case. */
  readonly slack: number;
  readonly windowS: number;
}

/** What a node sent to a service in one window. */
export interface BudgetCounts {
  /** First attempts. */
  firsts: number;
  /** Part of the first attempts that repeated runs made. */
  inherited: number;
  retries: number;
}

interface Slice extends BudgetCounts {
  readonly second: number;
}

/**
 * Part of the ratio that a node uses itself: a retry of a call that makes calls
 * counts again at each service below, where nobody sees that it is one.
 */
const OWN_SHARE = 0.25;
/** The same for a service that calls no other one. */
const LEAF_SHARE = 0.6;
/** The slack is shared out over at least so many nodes. */
const MIN_NODES = 8;

/** Counts by service. */
export class EntryBudget {
  readonly #terms: BudgetTerms;
  readonly #services = new Map<string, Slice[]>();

  constructor(terms: BudgetTerms) {
    this.#terms = terms;
  }

  /** Counts a first attempt, of a repeated run by so great a likelihood. */
  noteFirst(service: string, repeatShare: number, nowMs: number): void {
    const slice = this.#getSlice(service, nowMs);
    slice.firsts += 1;
    slice.inherited += repeatShare;
  }

  /** Counts a retry. */
  noteRetry(service: string, nowMs: number): void {
    this.#getSlice(service, nowMs).retries += 1;
  }

  /** Whether one more retry fits, where `nodes` share the budget. */
  canRetry(
    service: string,
    fleet: { readonly nodes: number; readonly isLeaf: boolean },
    nowMs: number,
  ): boolean {
    const { ratio, slack } = this.#terms;
    const { firsts, retries } = this.count(service, nowMs);
    const own = slack / 2 / Math.max(MIN_NODES, fleet.nodes);
    const share = fleet.isLeaf ? LEAF_SHARE : OWN_SHARE;
    return retries + 1 <= own + firsts * ratio * share;
  }

  /** Counts what was sent to a service in the window that ends now. */
  count(service: string, nowMs: number): Readonly<BudgetCounts> {
    const sum = { firsts: 0, inherited: 0, retries: 0 };
    for (const slice of this.#listSlices(service, nowMs)) {
      sum.firsts += slice.firsts;
      sum.inherited += slice.inherited;
      sum.retries += slice.retries;
    }
    return sum;
  }

  /** Lists the services that calls were sent to. */
  listServices(): readonly string[] {
    return [...this.#services.keys()];
  }

  #listSlices(service: string, nowMs: number): Slice[] {
    const slices = this.#services.get(service) ?? [];
    this.#services.set(service, slices);
    const oldest = Math.floor(nowMs / 1_000) - this.#terms.windowS;
    while (slices.length > 0 && slices[0]!.second < oldest) {
      slices.shift();
    }
    return slices;
  }

  #getSlice(service: string, nowMs: number): Slice {
    const slices = this.#listSlices(service, nowMs);
    const second = Math.floor(nowMs / 1_000);
    const last = slices.at(-1);
    if (last?.second === second) {
      return last;
    }
    const slice = { second, firsts: 0, inherited: 0, retries: 0 };
    slices.push(slice);
    return slice;
  }
}

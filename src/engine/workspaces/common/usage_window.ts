/** Counts what the requests of each workspace come to at one entry. */
import { LATELY_MS } from "./quota_shares.ts";
import type { WorkspaceUsage } from "./quota_shares.ts";

interface Slot {
  asked: number;
  passed: number;
  letIn: number;
}

/** How often the window moves on, and is reported. */
export const USAGE_MS = 500;
const LATE_SLOTS = LATELY_MS / USAGE_MS;
/** One slot alone says too little to scale it up. */
const LEAST_SLOTS = 2;

/** A sliding window of each workspace that asked for something within it. */
export class UsageWindow {
  readonly #slots: number;
  /** By workspace, the present slot first. */
  readonly #counts = new Map<string, Slot[]>();
  /** Slots since the start: demand of a part of a span is scaled up. */
  #elapsed = 1;

  constructor(windowMs: number) {
    this.#slots = Math.ceil(windowMs / USAGE_MS);
  }

  /** Notes a request, and whether it was let in. */
  note(workspace: string, isLetIn: boolean): void {
    const slot = this.#getSlot(workspace);
    slot.asked += 1;
    slot.passed += isLetIn ? 1 : 0;
    slot.letIn += isLetIn ? 1 : 0;
  }

  /** A request that was let in has run nowhere. */
  giveBack(workspace: string): void {
    const slot = this.#getSlot(workspace);
    slot.letIn -= 1;
  }

  /** Lists all that is in the window. */
  list(): readonly WorkspaceUsage[] {
    const elapsed = Math.max(LEAST_SLOTS, this.#elapsed);
    const lateScale = LATE_SLOTS / Math.min(elapsed, LATE_SLOTS);
    return [...this.#counts].map(([name, slots]) => ({
      name,
      asked: Math.max(
        countAsked(slots.slice(0, this.#slots)),
        countAsked(slots) / 2,
      ),
      askedLately: countAsked(slots.slice(0, LATE_SLOTS)) * lateScale,
      passed: slots.slice(0, this.#slots)
        .reduce((sum, { passed }) => sum + passed, 0),
      letIn: Math.max(
        0,
        slots.slice(0, this.#slots)
          .reduce((sum, { letIn }) => sum + letIn, 0),
      ),
    }));
  }

  /** Moves on by `USAGE_MS`; what has asked for nothing is forgotten. */
  advance(): void {
    this.#elapsed += 1;
    for (const [name, slots] of this.#counts) {
      slots.unshift({ asked: 0, passed: 0, letIn: 0 });
      slots.length = Math.min(slots.length, 2 * this.#slots);
      if (slots.every(({ asked, letIn }) => asked === 0 && letIn === 0)) {
        this.#counts.delete(name);
      }
    }
  }

  #getSlot(workspace: string): Slot {
    const slots = this.#counts.get(workspace) ??
      [{ asked: 0, passed: 0, letIn: 0 }];
    this.#counts.set(workspace, slots);
    return slots[0]!;
  }
}

function countAsked(slots: readonly Slot[]): number {
  return slots.reduce((sum, { asked }) => sum + asked, 0);
}

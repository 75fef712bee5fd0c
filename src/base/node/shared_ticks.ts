/**
 * Periodic work of one process, all on one timer. A wake costs far more than
 * the work that it is for (0.15 ms of a core on a machine that is not busy),
 * and timers of several periods wake a process at different moments: a control
 * replica with four links woke 60 times a second for them.
 */

/** Periods are rounded up to whole steps, in milliseconds. */
export const TICK_STEP_MS = 50;

interface PeriodicTask {
  readonly steps: number;
  readonly run: () => void;
}

const tasks = new Set<PeriodicTask>();
let timer: NodeJS.Timeout | undefined;
let stepCount = 0;

/** Runs `run` each `periodMs`, together with others; returns what stops it. */
export function startTicks(periodMs: number, run: () => void): () => void {
  const tick = { steps: Math.max(1, Math.ceil(periodMs / TICK_STEP_MS)), run };
  tasks.add(tick);
  timer ??= setInterval(runStep, TICK_STEP_MS);
  return () => {
    tasks.delete(tick);
    if (tasks.size === 0) {
      clearInterval(timer);
      timer = undefined;
    }
  };
}

function runStep(): void {
  stepCount += 1;
  for (const { steps, run } of [...tasks]) {
    if (stepCount % steps === 0) {
      run();
    }
  }
}

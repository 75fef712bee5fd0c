/**
 * Runs all periodic tasks of a process on one timer. Waking an idle process
 * costs far more than a typical task (0.15 ms of a core on an idle machine),
 * and timers with different periods wake it at different times: with a timer
 * for each task, a control replica with four links woke 60 times a second.
 */

/** Interval of the timer; periods are rounded up to a multiple of it. */
export const TICK_STEP_MS = 50;

interface PeriodicTask {
  /** Period, in steps of `TICK_STEP_MS`. */
  readonly steps: number;
  readonly run: () => void;
}

const tasks = new Set<PeriodicTask>();
let timer: NodeJS.Timeout | undefined;
let stepCount = 0;

/** Calls `run` every `periodMs`; returns a function that stops the calls. */
export function startTicks(periodMs: number, run: () => void): () => void {
  const task = { steps: Math.max(1, Math.ceil(periodMs / TICK_STEP_MS)), run };
  tasks.add(task);
  timer ??= setInterval(runStep, TICK_STEP_MS);
  return () => {
    tasks.delete(task);
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

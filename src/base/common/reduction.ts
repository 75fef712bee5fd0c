/** The return type that all reducers share, and functions to compose it. */

/** Result of a reducer: the next state, and effects for the I/O layer. */
export interface Reduction<S, E> {
  readonly state: S;
  readonly effects: readonly E[];
}

/** Creates a reduction, without effects by default. */
export function createReduction<S, E>(
  state: S,
  effects: readonly E[] = [],
): Reduction<S, E> {
  return { state, effects };
}

/** Runs `next` on the state of `step` and concatenates the effects of both. */
export function chainReduction<S, E>(
  step: Reduction<S, E>,
  next: (state: S) => Reduction<S, E>,
): Reduction<S, E> {
  const rest = next(step.state);
  if (step.effects.length === 0) {
    return rest;
  }
  return { state: rest.state, effects: [...step.effects, ...rest.effects] };
}

/** Returns `step` with `effects` appended to its own. */
export function appendEffects<S, E>(
  step: Reduction<S, E>,
  ...effects: readonly E[]
): Reduction<S, E> {
  return { state: step.state, effects: [...step.effects, ...effects] };
}

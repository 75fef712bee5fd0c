/** Exhaustiveness checks of tagged unions. */

/** Fails at compile time where a `switch` leaves a case out. */
export function assertNever(value: never): never {
  throw new Error(`Unexpected value: ${JSON.stringify(value)}`);
}

/** Exhaustiveness checks of tagged unions. */

/** Fails at compile time if a `switch` does not handle every case. */
export function assertNever(value: never): never {
  throw new Error(`Unexpected value: ${JSON.stringify(value)}`);
}

/** Compares two lists of described items, one by one. */

/** Names the places in which two lists differ. */
export function compareLists(
  name: string,
  expected: readonly string[],
  actual: readonly string[],
): readonly string[] {
  const length = Math.max(expected.length, actual.length);
  const places = Array.from({ length }, (_, i) => i);
  return places.filter((i) => expected[i] !== actual[i]).map((i) => {
    const wanted = expected[i] ?? "none";
    return `${name} ${i + 1}: expected ${wanted}, got ${actual[i] ?? "none"}`;
  });
}

/** Comparison of two lists of item descriptions, by index. */

/** Describes each index at which two lists differ. */
export function compareLists(
  name: string,
  expected: readonly string[],
  actual: readonly string[],
): readonly string[] {
  const length = Math.max(expected.length, actual.length);
  const indexes = Array.from({ length }, (_, i) => i);
  return indexes.filter((i) => expected[i] !== actual[i]).map((i) => {
    const expectedItem = expected[i] ?? "none";
    return `${name} ${i + 1}: expected ${expectedItem}, got ${
      actual[i] ?? "none"
    }`;
  });
}

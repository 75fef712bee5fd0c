/** Random numbers that are reproducible from a seed. */

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/** Creates a generator (mulberry32, public domain) with a 32-bit seed. */
export function createRandom(seed: number): Random {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

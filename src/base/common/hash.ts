/** Fast non-cryptographic hashing of short keys. */
import xxhash from "xxhash-wasm";

const { h32, h32Raw } = await xxhash();

/** Hashes `text` to an unsigned 32-bit integer (xxHash32). */
export function hashText(text: string, seed = 0): number {
  return h32(text, seed);
}

/** Hashes bytes to an unsigned 32-bit integer (xxHash32). */
export function hashBytes(bytes: Uint8Array, seed = 0): number {
  return h32Raw(bytes, seed);
}

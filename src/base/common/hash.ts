/** Fast non-cryptographic hashing of short keys. */
import { xxHash32 } from "js-xxhash";

/** Hashes `text` to an unsigned 32-bit integer (xxHash32). */
export function hashText(text: string, seed = 0): number {
  return xxHash32(text, seed);
}

/** Hashes bytes to an unsigned 32-bit integer (xxHash32). */
export function hashBytes(bytes: Uint8Array, seed = 0): number {
  return xxHash32(bytes, seed);
}

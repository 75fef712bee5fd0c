/** Digests of keys: what nodes compare, so that no key is kept or compared. */
import { hash } from "node:crypto";
import type { KeyDigest } from "../common/workspace.ts";

/** Half of a SHA-256 tells keys apart, and halves what is pushed to nodes. */
const DIGEST_BYTES = 16;

/** Computes the digest of a key. */
export function computeKeyDigest(key: string): KeyDigest {
  return hash("sha256", key, "buffer")
    .subarray(0, DIGEST_BYTES).toString("base64url");
}

/** Digests of API keys: nodes store and compare these instead of the keys. */
import { hash } from "node:crypto";
import type { KeyDigest } from "../common/workspace.ts";

/**
 * Half of a SHA-256 hash is enough to distinguish keys, and halves the data
 * that is pushed to nodes.
 */
const DIGEST_BYTES = 16;

/** Computes the digest of a key: truncated SHA-256 in base64url. */
export function computeKeyDigest(key: string): KeyDigest {
  return hash("sha256", key, "buffer")
    .subarray(0, DIGEST_BYTES).toString("base64url");
}

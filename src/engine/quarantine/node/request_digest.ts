/** Digests of requests, in which nothing of their content can be read. */
import { createHash } from "node:crypto";
import type { RequestIdentity } from "../common/request_identity.ts";

/** Half of a SHA-256 hash is enough to tell requests apart. */
const DIGEST_BYTES = 16;

/**
 * Larger bodies are sampled at both ends: all requests in progress are hashed
 * at once when a backend server ends.
 */
const MAX_WHOLE_BODY_BYTES = 65_536;

/** Computes a digest of a request's content: truncated SHA-256 in base64url. */
export function computeRequestDigest(
  { method, host, target, body }: Omit<RequestIdentity, "callerService">,
): string {
  const hash = createHash("sha256")
    .update(JSON.stringify([method, host, target, body.length]));
  const half = MAX_WHOLE_BODY_BYTES / 2;
  const hashed = body.length <= MAX_WHOLE_BODY_BYTES
    ? hash.update(body)
    : hash.update(body.subarray(0, half)).update(body.subarray(-half));
  return hashed
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString("base64url");
}

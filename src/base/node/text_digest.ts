/** Digests that tell texts apart in logs without their content. */
import { createHash } from "node:crypto";

/** 72 bits: texts of one deployment don't collide by chance. */
const DIGEST_LENGTH = 12;

/** Computes the first 12 characters of the text's SHA-256 in base64url. */
export function computeTextDigest(text: string): string {
  return createHash("sha256").update(text).digest("base64url")
    .slice(0, DIGEST_LENGTH);
}

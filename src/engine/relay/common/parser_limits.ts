/** Limits of the HTTP parser, and the status of what exceeds them. */
import type { RequestLimits } from "../../routes/common/route_table.ts";

/**
 * Least limit of the parser on a head, in bytes. The limit of the table in force
 * is checked for each request, so that one above it gets an answer and the
 * requests behind it are served.
 */
const MIN_HEAD_BYTES = 131_072;
/** Largest limit of the parser on a head, in bytes, whatever the table says. */
const MAX_HEAD_BYTES = 1_048_576;

/** Computes the limit of the parser on a head, in bytes. */
export function computeParserLimit(
  { maxHeaderBytes }: Pick<RequestLimits, "maxHeaderBytes">,
): number {
  const bytes = Math.min(Math.ceil(maxHeaderBytes), MAX_HEAD_BYTES);
  return Math.max(MIN_HEAD_BYTES, bytes);
}

/** Returns the HTTP status for bytes that the parser does not take. */
export function getMalformedStatus(
  { code }: { readonly code?: string | undefined },
): 400 | 431 {
  return code === "HPE_HEADER_OVERFLOW" ? 431 : 400;
}

/** Tells equal requests apart from others, whatever their ids and times. */
import { hashText } from "../../../base/common/hash.ts";
import type { Fingerprint } from "./quarantine_reducer.ts";

/** What equal requests have in common. */
export interface RequestIdentity {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array;
  /** Service on whose VM the request began. */
  readonly callerService: string;
}

/** Computes a digest of a request's content, without its caller. */
export type ComputeDigest = (
  request: Omit<RequestIdentity, "callerService">,
) => string;

/**
 * Fingerprints of a request: without and with its caller. A backend server may
 * fail for one calling service only, and the whole answers that others get must
 * not clear the request of that one.
 */
export type RequestFingerprints = readonly [Fingerprint, Fingerprint];

const PREFIX_LENGTH = 8;
/** Separates the caller from the rest; it doesn't occur in a digest. */
const CALLER_SEPARATOR = "/";

/** Creates the fingerprints of a request. */
export function createFingerprints(
  request: RequestIdentity,
  computeDigest: ComputeDigest,
): RequestFingerprints {
  const common = createPrefix(request) + computeDigest(request);
  return [common, `${common}${CALLER_SEPARATOR}${request.callerService}`];
}

/**
 * Creates the first part of a request's fingerprints. It is cheap to compare:
 * most requests differ from the recorded ones in it.
 */
export function createPrefix(
  { method, target }: Pick<RequestIdentity, "method" | "target">,
): string {
  return hashText(`${method} ${target}`).toString(16)
    .padStart(PREFIX_LENGTH, "0");
}

/** Whether a fingerprint is of the requests of one caller only. */
export function hasCaller(fingerprint: Fingerprint): boolean {
  return fingerprint.includes(CALLER_SEPARATOR);
}

/** Removes the caller from a fingerprint. */
export function removeCaller(fingerprint: Fingerprint): Fingerprint {
  return fingerprint.split(CALLER_SEPARATOR, 1)[0]!;
}

/** Gets the first part of a fingerprint. */
export function getPrefix(fingerprint: Fingerprint): string {
  return fingerprint.slice(0, PREFIX_LENGTH);
}

/** Finds the host in a list of header names and values. */
export function findHost(headers: readonly string[]): string {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === "host") {
      return headers[index + 1]!;
    }
  }
  return "";
}

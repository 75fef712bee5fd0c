/** Why an operator's listener couldn't be asked, and what to do about it. */

/** A request that brought no answer. */
export interface CallFailure {
  readonly reason: string;
  /** Undefined where nothing more is known than that it failed. */
  readonly advice: string | undefined;
}

/** Codes by which OpenSSL tells that a certificate isn't of the authority. */
const UNTRUSTED_CODES: readonly string[] = [
  "CERT_SIGNATURE_FAILURE",
  "DEPTH_ZERO_SELF_SIGNED_CERT",
  "SELF_SIGNED_CERT_IN_CHAIN",
  "UNABLE_TO_GET_ISSUER_CERT",
  "UNABLE_TO_GET_ISSUER_CERT_LOCALLY",
  "UNABLE_TO_VERIFY_LEAF_SIGNATURE",
];
/** Codes of a connection that ended under a request. */
const CLOSED_CODES: readonly string[] = [
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
];
const PLAINTEXT_CODES: readonly string[] = [
  "ERR_SSL_WRONG_VERSION_NUMBER",
  "ERR_SSL_PACKET_LENGTH_TOO_LONG",
];

/** Turns an error of a request into what an operator can act on. */
export function describeFailure(error: unknown, isTls: boolean): CallFailure {
  const { code, message } = error as { code?: string; message: string };
  const reason = code ?? message;
  if (UNTRUSTED_CODES.includes(reason)) {
    return {
      reason: `certificate is not of the authority (${reason})`,
      advice: "Name by --authority the file that security.authority of the " +
        "processes' settings names",
    };
  }
  if (reason === "CERT_HAS_EXPIRED" || reason === "CERT_NOT_YET_VALID") {
    return {
      reason: `certificate is out of its time (${reason})`,
      advice: "Give the process a new certificate, and check the clocks",
    };
  }
  if (isTls && PLAINTEXT_CODES.includes(reason)) {
    return {
      reason: "answers in plain text, not in TLS",
      advice: "Check the address; leave --authority out where transport is " +
        '"plaintext"',
    };
  }
  if (!isTls && CLOSED_CODES.includes(reason)) {
    return {
      reason: `closed the connection (${reason})`,
      advice: "If it takes only TLS, name its authority by --authority",
    };
  }
  return { reason, advice: undefined };
}

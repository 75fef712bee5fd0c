/** Descriptions of failed requests to operator listeners, with advice. */

/** Failure of a request that got no usable answer. */
export interface CallFailure {
  readonly reason: string;
  /** What the operator can do; undefined if the cause is unknown. */
  readonly advice: string | undefined;
}

/** Error codes of OpenSSL for a certificate not issued by the authority. */
const UNTRUSTED_CODES: readonly string[] = [
  "CERT_SIGNATURE_FAILURE",
  "DEPTH_ZERO_SELF_SIGNED_CERT",
  "SELF_SIGNED_CERT_IN_CHAIN",
  "UNABLE_TO_GET_ISSUER_CERT",
  "UNABLE_TO_GET_ISSUER_CERT_LOCALLY",
  "UNABLE_TO_VERIFY_LEAF_SIGNATURE",
];
/** Error codes of a connection that closed before the answer was complete. */
const CLOSED_CODES: readonly string[] = [
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
];
/** Error codes of a TLS handshake with a server that speaks plain HTTP. */
const PLAINTEXT_CODES: readonly string[] = [
  "ERR_SSL_WRONG_VERSION_NUMBER",
  "ERR_SSL_PACKET_LENGTH_TOO_LONG",
];

/** Converts an error of a request to a reason and advice for the operator. */
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

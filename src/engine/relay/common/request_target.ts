/** Resolves the target of a request to its host and origin form. */

/** A request as it was received, or in origin form. */
export interface RequestLine {
  /** Value of the `Host` header. */
  readonly host: string;
  /** Request target; path and query in origin form. */
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
}

/** Authority, and the rest with path and query. */
const ABSOLUTE_FORM = /^https?:\/\/([^/?#]*)(.*)$/is;

/**
 * Converts a request in absolute form to origin form. The authority of its
 * target takes the place of the `Host` header, whatever that says (RFC 9112,
 * 3.2.2). Other requests are returned as they are.
 */
export function resolveTarget(request: RequestLine): RequestLine {
  const match = request.target.startsWith("/")
    ? null
    : ABSOLUTE_FORM.exec(request.target);
  if (match === null) {
    return request;
  }
  const [, host = "", rest = ""] = match;
  return {
    host,
    target: rest.startsWith("/") ? rest : `/${rest}`,
    headers: replaceHost(request.headers, host),
  };
}

function replaceHost(headers: readonly string[], host: string): string[] {
  const replaced = ["Host", host];
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== "host") {
      replaced.push(headers[index]!, headers[index + 1]!);
    }
  }
  return replaced;
}

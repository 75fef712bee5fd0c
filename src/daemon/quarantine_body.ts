/** Parses the operator's orders on requests that end backend servers. */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { QuarantineOrder } from "../engine/control/common/crash_records.ts";

const MAX_NAME_LENGTH = 256;

const NAME = v.pipe(v.string(), v.nonEmpty(), v.maxLength(MAX_NAME_LENGTH));

const ORDER = v.object({
  service: NAME,
  fingerprint: NAME,
  action: v.picklist(["clear", "add"]),
});

/** Parses the body of `POST /quarantine`; the error names what is wrong. */
export function parseQuarantineOrder(
  body: unknown,
): Result<QuarantineOrder, string> {
  const parsed = v.safeParse(ORDER, body);
  if (parsed.success) {
    return ok(parsed.output);
  }
  const [issue] = parsed.issues;
  const path = v.getDotPath(issue) ?? "body";
  return err(`${path}: ${issue.message}`);
}

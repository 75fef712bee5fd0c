/** Encoding of link messages with the clock of the sender. */
import { encodeMessage } from "../../../base/node/message_codec.ts";
import type { ProcessClock } from "../../telemetry/common/process_clock.ts";

/** A received message; its clock has not been validated. */
export type Clocked<M> = M & { readonly clock?: unknown };

/** Encodes a message with the current clock, if there is one. */
export function encodeClocked(
  message: object,
  clock: ProcessClock | undefined,
): Uint8Array {
  return encodeMessage(
    clock === undefined ? message : { ...message, clock: clock.read() },
  );
}

/** Messages on links carry the sender's clock beside their own fields. */
import { encodeMessage } from "../../../base/node/message_codec.ts";
import type { ProcessClock } from "../../telemetry/common/process_clock.ts";

/** A message as it arrives; the clock is not yet checked. */
export type Clocked<M> = M & { readonly clock?: unknown };

/** Encodes a message with the clock as it stands. */
export function encodeClocked(
  message: object,
  clock: ProcessClock | undefined,
): Uint8Array {
  return encodeMessage(
    clock === undefined ? message : { ...message, clock: clock.read() },
  );
}

/** Tagged messages as msgpack. */
import { Packr } from "msgpackr";

const PACKR = new Packr({ useRecords: false });

/** Writes a message. */
export function encodeMessage(message: unknown): Uint8Array {
  return PACKR.pack(message);
}

/** Reads a message; undefined where the bytes are none. */
export function decodeMessage<T extends { readonly type: string }>(
  bytes: Uint8Array,
): T | undefined {
  try {
    const value = PACKR.unpack(bytes) as { type?: unknown } | null;
    return typeof value?.type === "string" ? value as T : undefined;
  } catch {
    return undefined;
  }
}

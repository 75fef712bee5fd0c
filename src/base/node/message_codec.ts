/** Encoding of tagged messages as msgpack. */
import { Packr } from "msgpackr";

const PACKR = new Packr({ useRecords: false });

export function encodeMessage(message: unknown): Uint8Array {
  return PACKR.pack(message);
}

/** Decodes a message; returns undefined for bytes that aren't one. */
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

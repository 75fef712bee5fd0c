/** Splits bodies into parts that fit into a frame, and joins them again. */
import { ByteCollector } from "../../../base/common/byte_collector.ts";
import { MAX_PART_BYTES } from "./frames.ts";

/** Returns the part that is sent with the opening frame. */
export function cutFirstPart(body: Uint8Array): Uint8Array {
  return body.length <= MAX_PART_BYTES
    ? body
    : body.subarray(0, MAX_PART_BYTES);
}

/** Lists the parts that are sent in `BodyPart` frames. */
export function listFurtherParts(body: Uint8Array): readonly Uint8Array[] {
  const parts: Uint8Array[] = [];
  for (
    let offset = MAX_PART_BYTES;
    offset < body.length;
    offset += MAX_PART_BYTES
  ) {
    parts.push(body.subarray(offset, offset + MAX_PART_BYTES));
  }
  return parts;
}

/** Collects the parts of a body of known length. */
export class BodyCollector {
  readonly #bytes = new ByteCollector();
  readonly #totalBytes: number;

  constructor(totalBytes: number, first: Uint8Array) {
    this.#totalBytes = totalBytes;
    this.add(first);
  }

  /** Whether all bytes have been received. */
  get isComplete(): boolean {
    return this.#bytes.length >= this.#totalBytes;
  }

  /** Adds the next part. */
  add(part: Uint8Array): void {
    this.#bytes.add(part);
  }

  /** Returns the whole body; nothing may be added after that. */
  join(): Uint8Array {
    return this.#bytes.join();
  }
}

/** Encoding of log entry payloads: empty, command or configuration. */
import type { Configuration, LogEntry } from "./log_types.ts";

const COMMAND_TAG = 0;
const CONFIGURATION_TAG = 1;

/** The decoded payload of an entry. */
export type EntryContent =
  /** The first entry that a leader appends in its term. */
  | { readonly type: "Empty" }
  | { readonly type: "Command"; readonly payload: Uint8Array }
  | { readonly type: "Configuration"; readonly configuration: Configuration };

/** Encodes the empty entry that a leader appends first in its term. */
export function encodeEmpty(): Uint8Array {
  return new Uint8Array(0);
}

/** Encodes a command: a tag, then the command's bytes. */
export function encodeCommand(payload: Uint8Array): Uint8Array {
  return addTag(COMMAND_TAG, payload);
}

/** Encodes a configuration: a tag, then JSON. */
export function encodeConfiguration(configuration: Configuration): Uint8Array {
  const text = JSON.stringify(configuration);
  return addTag(CONFIGURATION_TAG, new TextEncoder().encode(text));
}

/**
 * Decodes an entry's payload, which must come from one of the encoders above.
 */
export function decodeEntry(entry: LogEntry): EntryContent {
  const { payload } = entry;
  if (payload.length === 0) {
    return { type: "Empty" };
  }
  if (payload[0] === COMMAND_TAG) {
    return { type: "Command", payload: payload.subarray(1) };
  }
  const configuration = JSON.parse(
    new TextDecoder().decode(payload.subarray(1)),
  ) as Configuration;
  return { type: "Configuration", configuration };
}

/** Returns whether an entry holds a configuration, without decoding it. */
export function isConfigurationEntry(entry: LogEntry): boolean {
  return entry.payload[0] === CONFIGURATION_TAG;
}

function addTag(tag: number, payload: Uint8Array): Uint8Array {
  const tagged = new Uint8Array(payload.length + 1);
  tagged[0] = tag;
  tagged.set(payload, 1);
  return tagged;
}

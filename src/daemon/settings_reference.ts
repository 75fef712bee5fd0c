/** Settings reference for operators, generated from the schema. */
import type { GenericSchema } from "valibot";
import { CONTROL_SETTINGS, NODE_SETTINGS } from "./settings.ts";

/** Reference entry of one settings key. */
export interface SettingReference {
  /** Dotted path, as in error messages. */
  readonly key: string;
  readonly allowed: string;
  readonly isOptional: boolean;
  readonly note: string;
}

/** Entries of both roles; the note is empty where `NOTES` has none. */
export interface SettingsReference {
  readonly node: readonly SettingReference[];
  readonly control: readonly SettingReference[];
}

/** Purpose of each key, by dotted path; both roles share the notes. */
const NOTES: Readonly<Record<string, string>> = {
  "role": "Which of the two roles the process takes",
  "id": "Name of the process, unique in the system",
  "vm": "Name of the VM, as it shows in status",
  "region": "Region of the VM",
  "data_centre": "Data centre of the VM; calls stay in it where they can",
  "service": "Service that the backend server beside the node runs",
  "listen.edge": "Where callers send requests",
  "listen.egress": "Where the local backend server sends its own calls",
  "listen.ingress": "Where other nodes send calls",
  "listen.operator": "Status, time line, metrics and, on control, the table",
  "listen.link": "Where nodes and other control replicas connect",
  "advertise.ingress": "Where other nodes reach ingress, if not as listened",
  "backend.address": "The backend server beside the node",
  "backend.slots": "Requests that the backend server runs at a time",
  "backend.connections": "Connections that the backend server takes",
  "backend.health_path":
    "Answers 2xx while healthy; a hint that decides only ties",
  "backend.load_path":
    'Answers {"load": 0 to 1}; a hint that decides only ties',
  "control.replicas": "Link addresses of the control replicas, nearest first",
  "cluster.voters[].id": "Name of a voter; the first voter founds the set",
  "cluster.voters[].link": "Its link address",
  "cluster.learners[].id": "Name of a replica that serves but doesn't vote",
  "cluster.learners[].link": "Its link address",
  "discovery.seeds": "Link addresses of replicas to ask for the others",
  "discovery.is_first_start":
    "Whether the seeds found the set; true for empty folders alone",
  "discovery.max_voters": "Replicas are promoted up to so many voters",
  "discovery.replace_after_ms":
    "A voter that is silent for so long gives way to another replica",
  "discovery.confirm_every_ms":
    "How often a replica proves that its table is current",
  "discovery.confirm_valid_ms": "How long such a proof holds",
  "data_folder": "Folder for the log and snapshots, on a disk that stays",
  "security.transport": "Whether connections are protected",
  "security.certificate": "With tls: certificate of this process, PEM",
  "security.key": "With tls: its private key, PEM",
  "security.authority": "With tls: issuer of all processes' certificates, PEM",
  "security.edge_tls":
    "With tls: whether callers use it too; false if left out",
  "operators.file": "Operators' names and SHA-256 of their tokens, TOML",
  "log.level": "Least level that is logged; info where left out",
  "trace.file": "Records each event of the process for basilpin trace",
};

interface SchemaNode {
  readonly type: string;
  readonly entries?: Readonly<Record<string, GenericSchema>>;
  readonly item?: GenericSchema;
  readonly wrapped?: GenericSchema;
  readonly pipe?: readonly { readonly message?: unknown }[];
  readonly literal?: unknown;
  /** Name of the discriminator key that selects one of `options`. */
  readonly key?: string;
  readonly options?: readonly GenericSchema[];
  readonly message?: unknown;
}

/** Creates the entries of all keys of both roles, in schema order. */
export function createSettingsReference(): SettingsReference {
  return {
    node: listKeys(NODE_SETTINGS, "", false),
    control: listKeys(CONTROL_SETTINGS, "", false),
  };
}

function listKeys(
  schema: GenericSchema,
  key: string,
  isOptional: boolean,
): readonly SettingReference[] {
  const node = schema as unknown as SchemaNode;
  if (node.wrapped !== undefined) {
    return listKeys(node.wrapped, key, true);
  }
  if (node.entries !== undefined) {
    return Object.entries(node.entries).flatMap(([name, entry]) =>
      listKeys(entry, key === "" ? name : `${key}.${name}`, isOptional)
    );
  }
  if (node.type === "variant") {
    return listOptions(node, key, isOptional);
  }
  const item = node.item as unknown as SchemaNode | undefined;
  if (item?.entries !== undefined) {
    return listKeys(node.item!, `${key}[]`, isOptional);
  }
  const note = NOTES[key] ?? "";
  return [{ key, allowed: describeAllowed(node), isOptional, note }];
}

/**
 * Lists the keys of a variant: the discriminator, then the keys of its options
 * as optional ones, since each is required only with its own option.
 */
function listOptions(
  { key: tag = "", options = [], message }: SchemaNode,
  key: string,
  isOptional: boolean,
): readonly SettingReference[] {
  const tagKey = `${key}.${tag}`;
  const keys = options.flatMap((option) => listKeys(option, key, true))
    .filter((reference) => reference.key !== tagKey);
  const note = NOTES[tagKey] ?? "";
  return [
    { key: tagKey, allowed: String(message), isOptional, note },
    ...keys,
  ];
}

/**
 * Describes the allowed values by the last check, which is the most specific.
 */
function describeAllowed(node: SchemaNode): string {
  if (node.literal !== undefined) {
    return JSON.stringify(node.literal);
  }
  const messages = (node.pipe ?? [])
    .map(({ message }) => message)
    .filter((message) => typeof message === "string");
  return messages.at(-1) ?? String(node.message ?? node.type);
}

/** The settings of a process: TOML, checked by a schema. */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { parse as parseToml } from "smol-toml";
import * as v from "valibot";
import { parseAddress } from "../base/node/listen.ts";

/** Why settings can't be used: one line for the operator. */
export interface SettingsError {
  readonly type: "SettingsError";
  readonly message: string;
}

const NAME = v.pipe(
  v.string("a text"),
  v.regex(
    /^[a-z0-9][a-z0-9._-]{0,63}$/,
    "lower-case letters, digits, ., - or _, at most 64",
  ),
);
const ADDRESS = v.pipe(
  v.string("host:port"),
  v.check((text) => parseAddress(text) !== undefined, "host:port"),
);

function createCount(max: number) {
  const allowed = `a whole number from 1 to ${max}`;
  return v.pipe(
    v.number(allowed),
    v.check((n) => Number.isInteger(n) && n >= 1 && n <= max, allowed),
  );
}

const PATH = v.pipe(
  v.string("a path"),
  v.regex(/^\/[!-~]{0,255}$/, "a path that begins with /"),
);

const LOG = v.optional(
  v.strictObject({
    level: v.picklist(
      ["trace", "debug", "info", "warn", "error"],
      "one of trace, debug, info, warn, error",
    ),
  }),
  { level: "info" },
);
const FILE = v.pipe(v.string("a file name"), v.minLength(1, "a file name"));
const PLAINTEXT = v.strictObject({ transport: v.literal("plaintext") });
const TLS = v.strictObject({
  transport: v.literal("tls"),
  /** PEM files: what this process presents, its key, whom it trusts. */
  certificate: FILE,
  key: FILE,
  authority: FILE,
});
const TRANSPORTS = '"tls" or "plaintext"';
const CONTROL_SECURITY = v.variant("transport", [PLAINTEXT, TLS], TRANSPORTS);
const NODE_SECURITY = v.variant("transport", [
  PLAINTEXT,
  v.strictObject({
    ...TLS.entries,
    /**
     * Whether callers reach the edge listener by TLS; they present no
     * certificate. The hops to and from the local backend server (egress and
     * `backend.address`) stay plain: they are meant for loopback.
     */
    edge_tls: v.optional(v.boolean("true or false"), false),
  }),
], TRANSPORTS);
/** Whose tokens allow changes; where it is left out, anyone may edit. */
const OPERATORS = v.optional(v.strictObject({ file: FILE }));

/** Records all events of the process to a file, for `basilpin trace`. */
const TRACE = v.optional(v.strictObject({ file: FILE }));

/** Schema of the node role. */
export const NODE_SETTINGS = v.strictObject({
  role: v.literal("node"),
  id: NAME,
  vm: NAME,
  region: NAME,
  data_centre: NAME,
  service: NAME,
  listen: v.strictObject({
    edge: ADDRESS,
    egress: ADDRESS,
    ingress: ADDRESS,
    operator: ADDRESS,
  }),
  /** Where other nodes reach this one, if not at its listener. */
  advertise: v.optional(v.strictObject({ ingress: ADDRESS })),
  backend: v.strictObject({
    address: ADDRESS,
    slots: createCount(100_000),
    connections: createCount(1_000_000),
    /** The platform's own endpoints of the backend server: hints only. */
    health_path: v.optional(PATH),
    load_path: v.optional(PATH),
  }),
  control: v.strictObject({
    replicas: v.pipe(
      v.array(ADDRESS, "a list of host:port"),
      v.minLength(1, "at least one host:port"),
    ),
  }),
  security: NODE_SECURITY,
  operators: OPERATORS,
  log: LOG,
  trace: TRACE,
});

const REPLICA = v.strictObject({ id: NAME, link: ADDRESS });
const CLUSTER = v.strictObject({
  /** The first one founds the set; the same list at all replicas. */
  voters: v.pipe(
    v.array(REPLICA, "a list of { id, link }"),
    v.check(({ length }) => [1, 3, 5].includes(length), "1, 3 or 5 replicas"),
  ),
  /** Replicas that serve nodes but don't vote. */
  learners: v.optional(v.array(REPLICA, "a list of { id, link }"), []),
});

const DISCOVERY = v.strictObject({
  /** Link addresses of replicas to ask for the others. */
  seeds: v.pipe(
    v.array(ADDRESS, "a list of host:port"),
    v.minLength(1, "at least one host:port"),
  ),
  /** Whether the seeds found the set; true for empty folders alone. */
  is_first_start: v.boolean("true or false"),
  /** Replicas are promoted up to so many voters. */
  max_voters: createCount(9),
  /** A voter that is silent for so long gives way to another replica. */
  replace_after_ms: createCount(3_600_000),
  /** How often a replica proves that its state is current. */
  confirm_every_ms: createCount(60_000),
  /** How long such a proof holds. */
  confirm_valid_ms: createCount(60_000),
});

/** Schema of the control role. */
export const CONTROL_SETTINGS = v.strictObject({
  role: v.literal("control"),
  id: NAME,
  vm: NAME,
  region: NAME,
  data_centre: NAME,
  data_folder: v.pipe(
    v.string("a folder"),
    v.minLength(1, "a folder"),
  ),
  listen: v.strictObject({ link: ADDRESS, operator: ADDRESS }),
  /** The replicas of the table; left out where this is the only one. */
  cluster: v.optional(CLUSTER),
  /** In place of `cluster`: replicas that find each other from seeds. */
  discovery: v.optional(DISCOVERY),
  security: CONTROL_SECURITY,
  operators: OPERATORS,
  log: LOG,
  trace: TRACE,
});

const SETTINGS = v.variant(
  "role",
  [NODE_SETTINGS, CONTROL_SETTINGS],
  '"node" or "control"',
);

/** Settings of the node role. */
export type NodeSettings = v.InferOutput<typeof NODE_SETTINGS>;
/** Settings of the control role. */
export type ControlSettings = v.InferOutput<typeof CONTROL_SETTINGS>;
/** Settings of either role. */
export type Settings = NodeSettings | ControlSettings;

/** Reads and checks a settings file. */
export function readSettings(file: string): Result<Settings, SettingsError> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return err(createError(file, `Can't read: ${(error as Error).message}`));
  }
  return parseSettings(file, text);
}

/** Checks the text of a settings file; `file` is for messages. */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, SettingsError> {
  let value: unknown;
  try {
    value = parseToml(text);
  } catch (error) {
    const firstLine = (error as Error).message.split("\n")[0]!;
    return err(createError(file, firstLine));
  }
  const checked = v.safeParse(SETTINGS, value);
  return checked.success
    ? ok(checked.output)
    : err(createError(file, describeIssue(selectIssue(checked.issues))));
}

/** A misspelt key is both unknown and missing: the unknown one is told. */
function selectIssue(
  issues: readonly [v.BaseIssue<unknown>, ...v.BaseIssue<unknown>[]],
): v.BaseIssue<unknown> {
  return issues.find(isUnknownKey) ?? issues[0];
}

function isUnknownKey(issue: v.BaseIssue<unknown>): boolean {
  return issue.type === "strict_object" && issue.expected === "never";
}

function describeIssue(issue: v.BaseIssue<unknown>): string {
  const key = v.getDotPath(issue) ?? "";
  if (isUnknownKey(issue)) {
    return `${key}: unknown key; remove it or see docs/OPERATING.md`;
  }
  if (issue.type === "strict_object" && issue.input === undefined) {
    return `${key}: key is missing; see docs/OPERATING.md`;
  }
  const found = issue.input === undefined
    ? "nothing"
    : JSON.stringify(issue.input);
  return `${key}: found ${found}; expected ${issue.message}`;
}

function createError(file: string, message: string): SettingsError {
  return { type: "SettingsError", message: `${file}: ${message}` };
}

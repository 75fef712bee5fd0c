/** Settings of a process: TOML, validated by a schema. */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { parse as parseToml } from "smol-toml";
import * as v from "valibot";
import { parseAddress } from "../base/node/listen.ts";

/** Reason why settings are invalid, as one line for the operator. */
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

function createCountSchema(max: number) {
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
  /**
   * PEM files: the certificate of this process, its private key, and the
   * certificate authority that it trusts.
   */
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
     * Whether callers connect to the edge listener with TLS, without a client
     * certificate. The hops to and from the local backend server (egress and
     * `backend.address`) are always plaintext: they are meant for loopback.
     */
    edge_tls: v.optional(v.boolean("true or false"), false),
  }),
], TRANSPORTS);
/** File of operator credentials; if absent, edits need no credentials. */
const OPERATORS = v.optional(v.strictObject({ file: FILE }));

/**
 * File to which all events of the process are recorded, for `basilpin trace`.
 */
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
  /** Address at which other nodes connect, if it differs from the listener. */
  advertise: v.optional(v.strictObject({ ingress: ADDRESS })),
  backend: v.strictObject({
    address: ADDRESS,
    slots: createCountSchema(100_000),
    connections: createCountSchema(1_000_000),
    /** Health and load endpoints of the backend server; used only as hints. */
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
  /**
   * The first voter bootstraps the cluster; the list is equal at all replicas.
   */
  voters: v.pipe(
    v.array(REPLICA, "a list of { id, link }"),
    v.check(({ length }) => [1, 3, 5].includes(length), "1, 3 or 5 replicas"),
  ),
  /** Replicas that serve nodes without voting. */
  learners: v.optional(v.array(REPLICA, "a list of { id, link }"), []),
});

const DISCOVERY = v.strictObject({
  /** Link addresses of the replicas from which the others are discovered. */
  seeds: v.pipe(
    v.array(ADDRESS, "a list of host:port"),
    v.minLength(1, "at least one host:port"),
  ),
  /** Whether the seeds bootstrap the cluster; true only with empty folders. */
  is_first_start: v.boolean("true or false"),
  /** Number of voters up to which replicas are promoted. */
  max_voters: createCountSchema(9),
  /** Silence after which another replica replaces a voter. */
  replace_after_ms: createCountSchema(3_600_000),
  /** Interval at which a replica confirms that its state is current. */
  confirm_every_ms: createCountSchema(60_000),
  /** Validity of such a confirmation. */
  confirm_valid_ms: createCountSchema(60_000),
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
  /** Replicas of the table; absent if this is the only one. */
  cluster: v.optional(CLUSTER),
  /** Alternative to `cluster`: replicas discover each other from seeds. */
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

/** Reads and validates a settings file. */
export function readSettings(file: string): Result<Settings, SettingsError> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return err(createError(file, `Can't read: ${(error as Error).message}`));
  }
  return parseSettings(file, text);
}

/** Validates the text of a settings file; `file` is used in error messages. */
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

/**
 * Selects the issue to report: an unknown key before others, as a misspelt key
 * is both unknown and missing.
 */
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
  const actual = issue.input === undefined
    ? "nothing"
    : JSON.stringify(issue.input);
  return `${key}: found ${actual}; expected ${issue.message}`;
}

function createError(file: string, message: string): SettingsError {
  return { type: "SettingsError", message: `${file}: ${message}` };
}

/** Starts and stops nodes, control replicas and stand-ins on loopback. */
import { createHash } from "node:crypto";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parse, stringify } from "smol-toml";
import { Agent, request } from "undici";
import type { Behaviour, RunReport } from "./backend.ts";
import { findAddress } from "./ports.ts";

/** A started process. */
export interface FleetProcess {
  readonly id: string;
  readonly child: ChildProcess;
  /** The last lines of standard output and standard error, newest last. */
  readonly log: readonly string[];
}

/** A control replica and the `host:port` of its listeners. */
export interface FleetControl extends FleetProcess {
  readonly link: string;
  readonly operator: string;
}

/** A node, its backend server and the `host:port` of their listeners. */
export interface FleetNode extends FleetProcess {
  readonly service: string;
  readonly edge: string;
  readonly egress: string;
  readonly ingress: string;
  readonly operator: string;
  readonly backend: FleetProcess;
  readonly backendAddress: string;
}

/** Options of a node and its backend server. */
export interface FleetNodeOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots?: number;
  /** `host:port` that other nodes connect to; by default the ingress. */
  readonly advertise?: string;
  readonly behaviour?: Partial<Behaviour>;
  /** Flags of the node's runtime, Node.js. */
  readonly flags?: readonly string[];
  /** Downstream paths that a request calls, by `METHOD /prefix`. */
  readonly downstream?: Readonly<Record<string, readonly string[]>>;
  /** Whether the node polls the health and load of its backend server. */
  readonly hasHints?: boolean;
  /** Trace file that the node records its events in. */
  readonly trace?: string;
  /** Link addresses of control replicas; by default those of the fleet. */
  readonly replicas?: readonly string[];
}

/** Exit code and output of a finished command. */
export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Security of a fleet; by default plain text without credentials. */
export interface FleetOptions {
  /** Whether connections use TLS with the test certificates. */
  readonly isTls?: boolean;
  /** Whether the edge listener uses TLS too. */
  readonly isEdgeTls?: boolean;
  /** Tokens by operator name. */
  readonly tokens?: Readonly<Record<string, string>>;
}

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const START_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 20;
const MAX_LOG_LINES = 2_000;
const BACKEND_HINT_PATHS = { health_path: "/health", load_path: "/load" };
/** Possible numbers of voters, largest first. */
const VOTER_COUNTS = [5, 3, 1];

/**
 * Returns the path of a test certificate or key. The build does not copy these,
 * so the path is in the source folder.
 */
export function findCertificate(name: string): string {
  return join(ROOT, "..", "standin", "certificates", `${name}.pem`);
}

/** Owns the processes that it starts and a temporary folder for their files. */
export class Fleet implements AsyncDisposable {
  readonly folder = mkdtempSync(join(tmpdir(), "basilpin-"));
  readonly #children = new Set<ChildProcess>();
  readonly #controls: FleetControl[] = [];
  readonly #options: FleetOptions;
  /** Client of operator listeners; trusts the test authority. */
  readonly #agent = new Agent({
    connect: {
      ca: readFileSync(findCertificate("authority")),
      checkServerIdentity: () => undefined,
    },
  });

  constructor(options: FleetOptions = {}) {
    this.#options = options;
  }

  /** Operator addresses of the control replicas, in the format of the CLI. */
  get controlAddresses(): string {
    return this.#controls.map((control) => control.operator).join(",");
  }

  /** Returns the path of a control replica's trace file. */
  findTrace(id: string): string {
    return join(this.folder, `${id}.trace`);
  }

  /** Enables the trace of a control replica, effective at its next start. */
  recordControl(control: FleetControl): void {
    const file = join(this.folder, `${control.id}.toml`);
    const settings = parse(readFileSync(file, "utf8"));
    const trace = { file: this.findTrace(control.id) };
    writeFileSync(file, stringify({ ...settings, trace }));
  }

  /**
   * Starts control replicas, and waits until all are ready. The first 5, 3 or 1
   * of them are voters, the others learners.
   */
  async startControls(
    replicas: readonly (readonly [id: string, dataCentre: string])[],
  ): Promise<readonly FleetControl[]> {
    const links = await Promise.all(replicas.map(() => findAddress()));
    const members = replicas.map(([id], index) => ({
      id,
      link: links[index]!,
    }));
    const count = VOTER_COUNTS.find((n) => n <= members.length)!;
    const cluster = {
      voters: members.slice(0, count),
      learners: members.slice(count),
    };
    const started = await Promise.all(
      replicas.map(([id, dataCentre], index) =>
        this.#spawnControl({ id, dataCentre, link: links[index]!, cluster })
      ),
    );
    this.#controls.push(...started);
    await Promise.all(started.map(({ operator }) => this.#waitReady(operator)));
    return started;
  }

  /** Starts a control replica as the only voter; waits until it is ready. */
  async startControl(id: string, dataCentre: string): Promise<FleetControl> {
    const link = await findAddress();
    const cluster = { voters: [{ id, link }] };
    const started = await this.#spawnControl({ id, dataCentre, link, cluster });
    this.#controls.push(started);
    await this.#waitReady(started.operator);
    return started;
  }

  /** Restarts a stopped control replica with its settings file. */
  async restartControl(control: FleetControl): Promise<FleetControl> {
    const { id, link, operator } = control;
    const settings = join(this.folder, `${id}.toml`);
    return { ...await this.startDaemon(id, settings), link, operator };
  }

  /** Starts a backend server and its node, and waits until that is a member. */
  async startNode(options: FleetNodeOptions): Promise<FleetNode> {
    const { id, service, dataCentre, slots = 50 } = options;
    const [edge, egress, ingress, operator, backendAddress] = await Promise.all(
      [
        findAddress(),
        findAddress(),
        findAddress(),
        findAddress(),
        findAddress(),
      ],
    );
    const settings = this.writeSettings(id, {
      role: "node",
      id,
      vm: id,
      region: "local",
      data_centre: dataCentre,
      service,
      listen: { edge, egress, ingress, operator },
      ...(options.advertise === undefined
        ? {}
        : { advertise: { ingress: options.advertise } }),
      backend: {
        address: backendAddress,
        slots,
        connections: 400,
        ...(options.hasHints === true ? BACKEND_HINT_PATHS : {}),
      },
      control: {
        replicas: options.replicas ??
          this.#controls.map((control) => control.link),
      },
      ...this.#createSecurity("node"),
      ...(options.trace === undefined
        ? {}
        : { trace: { file: options.trace } }),
    });
    const backend = await this.startBackend({
      ...options,
      slots,
      egress,
      address: backendAddress,
    });
    const node = await this.startDaemon(id, settings, options.flags);
    await this.waitMember(id);
    const addresses = { edge, egress, ingress, operator, backendAddress };
    return { ...node, ...addresses, service, backend };
  }

  /**
   * Waits until every control replica that answers lists a node: a caller may
   * be linked to any of them, and receives the members from that one only.
   */
  async waitMember(nodeId: string): Promise<void> {
    const endMs = Date.now() + START_TIMEOUT_MS;
    while (Date.now() < endMs) {
      const reports = await Promise.all(
        this.#controls.map(({ operator }) =>
          this.#request(operator, "/status")
            .then(({ body }) => body.text(), () => undefined)
        ),
      );
      const received = reports.filter((report) => report !== undefined);
      const isListed = (report: string) =>
        report.includes(`"nodeId":"${nodeId}"`);
      if (received.length > 0 && received.every(isListed)) {
        return;
      }
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(`${nodeId} was not listed by the control replicas in time`);
  }

  /** Starts a stand-in backend server without a node. */
  async startBackend(
    options: Omit<FleetNodeOptions, "service" | "dataCentre"> & {
      readonly address: string;
      readonly egress: string;
      /** Addresses that it calls without a node, by path prefix. */
      readonly direct?: Readonly<Record<string, readonly string[]>>;
    },
  ): Promise<FleetProcess> {
    const { id, address, egress, slots = 50 } = options;
    return await this.start(`${id}-backend`, [
      join(ROOT, "standin/backend.js"),
      "--listen",
      address,
      "--egress",
      egress,
      "--slots",
      String(slots),
      "--behaviour",
      JSON.stringify(options.behaviour ?? {}),
      "--downstream",
      JSON.stringify(options.downstream ?? {}),
      "--direct",
      JSON.stringify(options.direct ?? {}),
    ]);
  }

  /** Starts `basilpind` with a settings file. */
  async startDaemon(
    id: string,
    settings: string,
    flags: readonly string[] = [],
  ): Promise<FleetProcess> {
    const main = join(ROOT, "src/daemon/main.js");
    return await this.start(id, [...flags, main, "--settings", settings]);
  }

  /** Starts a built program, given its path in the build output. */
  async startProgram(
    id: string,
    args: readonly [string, ...string[]],
  ): Promise<FleetProcess> {
    const [program, ...rest] = args;
    return await this.start(id, [join(ROOT, program), ...rest]);
  }

  /** Writes a settings file and returns its path. */
  writeSettings(id: string, settings: object): string {
    const file = join(this.folder, `${id}.toml`);
    writeFileSync(file, stringify(settings));
    return file;
  }

  /** Starts a Node.js program; resolves when it prints a line with `is up`. */
  async start(id: string, args: readonly string[]): Promise<FleetProcess> {
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#children.add(child);
    child.on("exit", () => this.#children.delete(child));
    const log: string[] = [];
    const collect = (data: Buffer) => {
      log.push(...data.toString().split("\n").filter((line) => line !== ""));
      log.splice(0, log.length - MAX_LOG_LINES);
    };
    // Logs go to standard output, errors that prevent a start to stderr.
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    await waitForStart(child, id, log);
    return { id, child, log };
  }

  /** Runs the `basilpin` command with the addresses of the control replicas. */
  async run(...args: readonly string[]): Promise<CommandResult> {
    return await this.runProgram("src/cli/main.js", ...args);
  }

  /** Runs a built program, and waits for its exit. */
  async runProgram(
    program: string,
    ...args: readonly string[]
  ): Promise<CommandResult> {
    const child = spawn(process.execPath, [join(ROOT, program), ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        ...process.env,
        BASILPIN_CONTROL: this.controlAddresses,
        ...(this.#options.isTls === true
          ? { BASILPIN_AUTHORITY: findCertificate("authority") }
          : {}),
      },
    });
    this.#children.add(child);
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", (data: Buffer) => stdout += data.toString());
    child.stderr.on("data", (data: Buffer) => stderr += data.toString());
    const exitCode = await waitForExit(child);
    this.#children.delete(child);
    return { exitCode, stdout, stderr };
  }

  /** Sends a signal to a process and waits for its exit. */
  async stop(
    target: FleetProcess,
    signal: NodeJS.Signals = "SIGTERM",
  ): Promise<number> {
    const exited = waitForExit(target.child);
    target.child.kill(signal);
    return await exited;
  }

  async #spawnControl(options: {
    readonly id: string;
    readonly dataCentre: string;
    readonly link: string;
    readonly cluster: object;
  }): Promise<FleetControl> {
    const { id, dataCentre, link, cluster } = options;
    const operator = await findAddress();
    const settings = this.writeSettings(id, {
      role: "control",
      id,
      vm: id,
      region: "local",
      data_centre: dataCentre,
      data_folder: join(this.folder, id),
      cluster,
      listen: { link, operator },
      ...this.#createSecurity("control"),
    });
    const started = await this.startDaemon(id, settings);
    return { ...started, link, operator };
  }

  /** Creates the sections `security` and `operators` of the settings. */
  #createSecurity(role: "node" | "control"): object {
    const { isTls = false, isEdgeTls = false, tokens } = this.#options;
    const security = isTls
      ? {
        transport: "tls",
        certificate: findCertificate("process"),
        key: findCertificate("process_key"),
        authority: findCertificate("authority"),
        ...(role === "node" ? { edge_tls: isEdgeTls } : {}),
      }
      : { transport: "plaintext" };
    return {
      security,
      ...(tokens === undefined
        ? {}
        : { operators: { file: this.#writeCredentials(tokens) } }),
    };
  }

  /** Writes the operators file, which holds the SHA-256 digests of tokens. */
  #writeCredentials(tokens: Readonly<Record<string, string>>): string {
    const entries = Object.entries(tokens).map(([name, token]) => [
      name,
      createHash("sha256").update(token).digest("hex"),
    ]);
    return this.writeSettings("operators", Object.fromEntries(entries));
  }

  async #request(operator: string, path: string) {
    const scheme = this.#options.isTls === true ? "https" : "http";
    return await request(`${scheme}://${operator}${path}`, {
      dispatcher: this.#agent,
    });
  }

  #waitReady(operator: string): Promise<void> {
    return waitUntilReady(operator, () => this.#request(operator, "/readyz"));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
    const exits = [...this.#children].map((child) => {
      const exited = waitForExit(child);
      child.kill("SIGKILL");
      return exited;
    });
    await Promise.all(exits);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Changes the behaviour of a stand-in backend server. */
export async function setBehaviour(
  address: string,
  behaviour: Partial<Behaviour>,
): Promise<void> {
  const answer = await request(`http://${address}/standin/behaviour`, {
    method: "POST",
    body: JSON.stringify(behaviour),
  });
  await answer.body.dump();
}

/** Reads the run counts of a stand-in backend server. */
export async function readRuns(address: string): Promise<RunReport> {
  const answer = await request(`http://${address}/standin/runs`);
  return await answer.body.json() as RunReport;
}

/** Waits until `GET /readyz` of an operator listener is answered by 200. */
export function waitReady(operator: string): Promise<void> {
  return waitUntilReady(operator, () => request(`http://${operator}/readyz`));
}

async function waitUntilReady(
  operator: string,
  sendRequest: () => ReturnType<typeof request>,
): Promise<void> {
  const endMs = Date.now() + START_TIMEOUT_MS;
  while (Date.now() < endMs) {
    const status = await sendRequest().then(
      async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
      },
      () => 0,
    );
    if (status === 200) {
      return;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`${operator} did not become ready in time`);
}

/** Waits for an exit and returns the exit code; -1 when ended by a signal. */
function waitForExit(child: ChildProcess): Promise<number> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode ?? -1);
  }
  return new Promise((resolve) => {
    child.on("exit", (code) => resolve(code ?? -1));
  });
}

function waitForStart(
  child: ChildProcess,
  id: string,
  log: readonly string[],
): Promise<void> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string) =>
      reject(new Error(`${id} ${reason}: ${log.join("\n")}`));
    const timer = setTimeout(
      () => fail("did not start in time"),
      START_TIMEOUT_MS,
    );
    child.on("exit", (code) => {
      clearTimeout(timer);
      fail(`ended with ${code}`);
    });
    child.stdout!.on("data", (data: Buffer) => {
      if (data.toString().includes("is up")) {
        clearTimeout(timer);
        resolve();
      }
    });
  });
}

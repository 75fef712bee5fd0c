/** Starts the product's processes and stand-ins on loopback, and ends them. */
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

/** One started process. */
export interface FleetProcess {
  readonly id: string;
  readonly child: ChildProcess;
  /** Lines of standard error, newest last. */
  readonly log: readonly string[];
}

/** A control replica and where it listens. */
export interface FleetControl extends FleetProcess {
  readonly link: string;
  readonly operator: string;
}

/** A node, its backend server and where they listen. */
export interface FleetNode extends FleetProcess {
  readonly service: string;
  readonly edge: string;
  readonly egress: string;
  readonly ingress: string;
  readonly operator: string;
  readonly backend: FleetProcess;
  readonly backendAddress: string;
}

/** What a node and its backend server are started with. */
export interface FleetNodeOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots?: number;
  /** `host:port` where other nodes reach this one, if not its listener. */
  readonly advertise?: string;
  readonly behaviour?: Partial<Behaviour>;
  /** Flags of the node's runtime. */
  readonly flags?: readonly string[];
  /** Paths called downstream by `METHOD /prefix`. */
  readonly downstream?: Readonly<Record<string, readonly string[]>>;
  /** Has the node ask the endpoints of its backend server. */
  readonly hasHints?: boolean;
  /** File that the node records its events to. */
  readonly trace?: string;
  /** Link addresses of control replicas, if not those of the fleet. */
  readonly replicas?: readonly string[];
}

/** What a finished command printed. */
export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** What a fleet is protected by; plain text and no credentials without. */
export interface FleetOptions {
  /** TLS by the test certificates. */
  readonly isTls?: boolean;
  /** Whether callers reach the edge by TLS too. */
  readonly isEdgeTls?: boolean;
  /** Operators' tokens by name. */
  readonly tokens?: Readonly<Record<string, string>>;
}

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const START_MS = 15_000;
const POLL_MS = 20;
const MAX_LOG_LINES = 2_000;
const HINT_PATHS = { health_path: "/health", load_path: "/load" };
const VOTER_COUNTS = [5, 3, 1];

/** Names a file of the test certificates, which are not built. */
export function findCertificate(name: string): string {
  return join(ROOT, "..", "standin", "certificates", `${name}.pem`);
}

/** Owns the processes that it started and a folder for their files. */
export class Fleet implements AsyncDisposable {
  readonly folder = mkdtempSync(join(tmpdir(), "basilpin-"));
  readonly #children = new Set<ChildProcess>();
  readonly #controls: FleetControl[] = [];
  readonly #options: FleetOptions;
  /** Asks operators' listeners; trusts the authority of the tests. */
  readonly #agent = new Agent({
    connect: {
      ca: readFileSync(findCertificate("authority")),
      checkServerIdentity: () => undefined,
    },
  });

  constructor(options: FleetOptions = {}) {
    this.#options = options;
  }

  /** Operator addresses of the control replicas, as the CLI takes them. */
  get controlAddresses(): string {
    return this.#controls.map((control) => control.operator).join(",");
  }

  /** File in the fleet's folder that a control replica records to. */
  findTrace(id: string): string {
    return join(this.folder, `${id}.trace`);
  }

  /** Makes a control replica record its events from its next start on. */
  recordControl(control: FleetControl): void {
    const file = join(this.folder, `${control.id}.toml`);
    const settings = parse(readFileSync(file, "utf8"));
    const trace = { file: this.findTrace(control.id) };
    writeFileSync(file, stringify({ ...settings, trace }));
  }

  /** Starts control replicas, the first 5, 3 or 1 voting; waits for all. */
  async startControls(
    replicas: readonly (readonly [id: string, dataCentre: string])[],
  ): Promise<readonly FleetControl[]> {
    const links = await Promise.all(replicas.map(() => findAddress()));
    const places = replicas.map(([id], at) => ({ id, link: links[at]! }));
    const count = VOTER_COUNTS.find((n) => n <= places.length)!;
    const cluster = {
      voters: places.slice(0, count),
      learners: places.slice(count),
    };
    const started = await Promise.all(
      replicas.map(([id, dataCentre], at) =>
        this.#openControl({ id, dataCentre, link: links[at]!, cluster })
      ),
    );
    this.#controls.push(...started);
    await Promise.all(started.map(({ operator }) => this.#waitReady(operator)));
    return started;
  }

  /** Starts a control replica that votes alone, and waits until it serves. */
  async startControl(id: string, dataCentre: string): Promise<FleetControl> {
    const link = await findAddress();
    const cluster = { voters: [{ id, link }] };
    const started = await this.#openControl({ id, dataCentre, link, cluster });
    this.#controls.push(started);
    await this.#waitReady(started.operator);
    return started;
  }

  /** Starts a control replica again that was stopped, on its settings. */
  async restartControl(control: FleetControl): Promise<FleetControl> {
    const { id, link, operator } = control;
    const settings = join(this.folder, `${id}.toml`);
    return { ...await this.startDaemon(id, settings), link, operator };
  }

  /** Starts a backend server and the node beside it. */
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
        ...(options.hasHints === true ? HINT_PATHS : {}),
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
   * Waits until every control replica that answers lists a node: callers may
   * hold their link to any of them, and hear of the node from that one only.
   */
  async waitMember(nodeId: string): Promise<void> {
    const endMs = Date.now() + START_MS;
    while (Date.now() < endMs) {
      const reports = await Promise.all(
        this.#controls.map(({ operator }) =>
          this.#ask(operator, "/status")
            .then(({ body }) => body.text(), () => undefined)
        ),
      );
      const heard = reports.filter((report) => report !== undefined);
      const isListed = (report: string) =>
        report.includes(`"nodeId":"${nodeId}"`);
      if (heard.length > 0 && heard.every(isListed)) {
        return;
      }
      await sleep(POLL_MS);
    }
    throw new Error(`${nodeId} did not become a member in time`);
  }

  /** Starts a stand-in backend server alone. */
  async startBackend(
    options: Omit<FleetNodeOptions, "service" | "dataCentre"> & {
      readonly address: string;
      readonly egress: string;
      /** Addresses by path prefix that it calls itself, without a node. */
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

  /** Starts `basilpind` on a settings file. */
  async startDaemon(
    id: string,
    settings: string,
    flags: readonly string[] = [],
  ): Promise<FleetProcess> {
    const main = join(ROOT, "src/daemon/main.js");
    return await this.start(id, [...flags, main, "--settings", settings]);
  }

  /** Starts a built program of this repository by its path in it. */
  async startProgram(
    id: string,
    args: readonly [string, ...string[]],
  ): Promise<FleetProcess> {
    const [program, ...rest] = args;
    return await this.start(id, [join(ROOT, program), ...rest]);
  }

  /** Writes a settings file and returns its name. */
  writeSettings(id: string, settings: object): string {
    const file = join(this.folder, `${id}.toml`);
    writeFileSync(file, stringify(settings));
    return file;
  }

  /** Starts a program of this repository; resolves when it says it is up. */
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
    // Logs go to standard output, what stops a start to standard error.
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    await waitUp(child, id, log);
    return { id, child, log };
  }

  /** Runs the `basilpin` command against the fleet's control replicas. */
  async run(...args: readonly string[]): Promise<CommandResult> {
    return await this.runProgram("src/cli/main.js", ...args);
  }

  /** Runs a built program of this repository to its end. */
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
    const exitCode = await waitExit(child);
    this.#children.delete(child);
    return { exitCode, stdout, stderr };
  }

  /** Sends a signal and waits for the end of the process. */
  async stop(
    target: FleetProcess,
    signal: NodeJS.Signals = "SIGTERM",
  ): Promise<number> {
    const exited = waitExit(target.child);
    target.child.kill(signal);
    return await exited;
  }

  async #openControl(place: {
    readonly id: string;
    readonly dataCentre: string;
    readonly link: string;
    readonly cluster: object;
  }): Promise<FleetControl> {
    const { id, dataCentre, link, cluster } = place;
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

  #writeCredentials(tokens: Readonly<Record<string, string>>): string {
    const entries = Object.entries(tokens).map(([name, token]) => [
      name,
      createHash("sha256").update(token).digest("hex"),
    ]);
    return this.writeSettings("operators", Object.fromEntries(entries));
  }

  async #ask(operator: string, path: string) {
    const scheme = this.#options.isTls === true ? "https" : "http";
    return await request(`${scheme}://${operator}${path}`, {
      dispatcher: this.#agent,
    });
  }

  #waitReady(operator: string): Promise<void> {
    return waitAnswer(operator, () => this.#ask(operator, "/readyz"));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
    const exits = [...this.#children].map((child) => {
      const exited = waitExit(child);
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

/** Reads what a stand-in backend server has run. */
export async function readRuns(address: string): Promise<RunReport> {
  const answer = await request(`http://${address}/standin/runs`);
  return await answer.body.json() as RunReport;
}

/** Waits until a process says that it is ready. */
export function waitReady(operator: string): Promise<void> {
  return waitAnswer(operator, () => request(`http://${operator}/readyz`));
}

async function waitAnswer(
  operator: string,
  ask: () => ReturnType<typeof request>,
): Promise<void> {
  const endMs = Date.now() + START_MS;
  while (Date.now() < endMs) {
    const status = await ask().then(
      async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
      },
      () => 0,
    );
    if (status === 200) {
      return;
    }
    await sleep(POLL_MS);
  }
  throw new Error(`${operator} did not become ready in time`);
}

function waitExit(child: ChildProcess): Promise<number> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode ?? -1);
  }
  return new Promise((resolve) => {
    child.on("exit", (code) => resolve(code ?? -1));
  });
}

function waitUp(
  child: ChildProcess,
  id: string,
  log: readonly string[],
): Promise<void> {
  return new Promise((resolve, reject) => {
    const fail = (why: string) =>
      reject(new Error(`${id} ${why}: ${log.join("\n")}`));
    const timer = setTimeout(() => fail("did not start in time"), START_MS);
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

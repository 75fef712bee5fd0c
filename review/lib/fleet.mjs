/**
 * Starts the project's programs with the commands of the deploy file, each
 * process with a loopback address of its own, and records what clients, the
 * operator and upstreams see. Uses only modules of Node.js.
 */
import { spawn } from "node:child_process";
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export { sleep };

const ROOT = fileURLToPath(new URL("../../", import.meta.url));

/** Thrown if the case can't run; it then says nothing about the rule. */
export class CannotRun extends Error {}

/** Milliseconds since the start of this process. */
export function nowMs() {
  return Math.round(performance.now());
}

/** Lines of `record.txt`. */
export class Record {
  #lines = [];
  #file;

  constructor(file) {
    this.#file = file;
  }

  add(what, fields = {}) {
    const text = Object.entries(fields)
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
    const line = `${String(nowMs()).padStart(7)} ms  ${what}  ${text}`;
    this.#lines.push(line.trimEnd());
    console.log(line.trimEnd());
  }

  write() {
    writeFileSync(this.#file, this.#lines.join("\n") + "\n");
  }
}

/** Reads the `run` command of a role from the deploy file. */
function readCommand(role) {
  const text = readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(/^\[roles\./m)
    .find((part) => part.startsWith(`${role}]`));
  const run = /^run\s*=\s*"([^"]*)"/m.exec(section ?? "")?.[1];
  if (run === undefined) {
    throw new CannotRun(`deploy/system.toml has no command for ${role}`);
  }
  return run.split(" ").filter((word) => word !== "");
}

/** Finds a base port that is free on an address of the fleet's own network. */
async function findPorts(ip) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const base = 20_000 + Math.floor(Math.random() * 10_000);
    const isFree = await new Promise((resolve) => {
      const server = net.createServer();
      server.once("error", () => resolve(false));
      server.listen(base, ip, () => server.close(() => resolve(true)));
    });
    if (isFree) {
      return base;
    }
  }
  throw new CannotRun("no free port");
}

/** Bounds of the small deployments, as their sheets give them. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  syncS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxSkewMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 49,
  recoveryS: 15,
};
export const HEARTBEAT_MS = 1500;
/** Time after the starts from which all machines are in touch. */
export const STABLE_MS = 3500;

function formatToml(table) {
  const plain = [];
  const sections = [];
  for (const [name, value] of Object.entries(table)) {
    if (typeof value === "object" && !Array.isArray(value)) {
      sections.push(`[${name}]\n${formatToml(value)}`);
    } else {
      plain.push(`${name} = ${JSON.stringify(value)}\n`);
    }
  }
  return plain.join("") + sections.join("");
}

/** Owns all processes; ends them by their ids. */
export class Fleet {
  #folder = mkdtempSync(path.join(tmpdir(), "review-"));
  #network = `127.${64 + Math.floor(Math.random() * 128)}.${
    Math.floor(Math.random() * 250)
  }`;
  #nextHost = 1;
  #children = new Set();
  #base;
  #seeds = [];
  record;

  constructor(record) {
    this.record = record;
    if (!existsSync(path.join(ROOT, "target/start.cjs"))) {
      throw new CannotRun("target/ isn't built; see the deploy file");
    }
    process.once("exit", () => this.#killAll());
  }

  get seeds() {
    return this.#seeds;
  }

  async start(replicaCount = 3) {
    this.#base = await findPorts(`${this.#network}.1`);
    const ips = Array.from({ length: replicaCount }, () => this.newIp());
    this.#seeds = ips.slice(0, 3).map((ip) => `${ip}:${this.#base + 20}`);
    return await Promise.all(ips.map((ip) => this.startReplica(ip)));
  }

  newIp() {
    return `${this.#network}.${this.#nextHost++}`;
  }

  /** Addresses of a machine. */
  addresses(ip) {
    const base = this.#base;
    return {
      control: `${ip}:${base + 20}`,
      outbound: `${ip}:${base + 21}`,
      ready: `${ip}:${base + 22}`,
      inbound: `${ip}:${base + 23}`,
      app: `${ip}:${base + 24}`,
    };
  }

  async startReplica(ip) {
    const dataDir = path.join(this.#folder, ip);
    mkdirSync(dataDir, { recursive: true });
    const { control } = this.addresses(ip);
    return await this.#start("replica", ip, {
      machineClass: "core",
      serves: ["control"],
      dataDir,
    }, { control });
  }

  /** Starts a node beside an upstream of a service. */
  async startNode(service, ip = this.newIp()) {
    const { control, outbound, ready, inbound, app } = this.addresses(ip);
    return await this.#start("node", ip, {
      machineClass: "sidecar",
      serves: ["sidecar"],
      appAddr: app,
      service,
    }, { inbound, outbound, ready, control });
  }

  /** Removes a machine: its process is killed. */
  async remove(machine) {
    machine.child.kill("SIGKILL");
    await machine.exited;
    this.record.add("machine removed", { ip: machine.ip });
  }

  /** Adds a machine at the address of a removed one, for another service. */
  async replace(machine, service) {
    const text = readFileSync(machine.file, "utf8");
    writeFileSync(
      machine.file,
      text.replace(/^service = .*$/m, `service = ${JSON.stringify(service)}`),
    );
    await this.launch(machine);
    this.record.add("machine added", { ip: machine.ip, service });
  }

  async #start(role, ip, fields, listen) {
    const file = path.join(this.#folder, `${ip}.toml`);
    const base = this.#base;
    writeFileSync(
      file,
      formatToml({
        node: `${role}-${ip}`,
        role,
        ip,
        zone: "hall-a",
        region: "north",
        internalPortRange: [base, base + 15],
        seeds: this.#seeds,
        bootstrap: true,
        lossCounts: role === "replica",
        discovery: "static",
        entry: "static",
        heartbeatMs: HEARTBEAT_MS,
        contracts: [
          "base",
          "drain",
          "config",
          "cost",
          "retry",
          "recover",
          "pressure",
        ],
        ...fields,
        zones: { "hall-a": "north" },
        listen,
        limits: {
          cpuShare: 0.54,
          cores: 2,
          memoryMb: 350,
          maxFds: 4100,
          linkMbps: 1000.0,
          diskMb: role === "replica" ? 256 : 0,
        },
        faultTolerance: { machines: 1, zones: 0, regions: 0 },
        bounds: BOUNDS,
      }),
    );
    const machine = { role, ip, file, ...this.addresses(ip) };
    await this.launch(machine);
    return machine;
  }

  /** Starts the process of a machine, at first or again. */
  async launch(machine) {
    if (machine.child !== undefined) {
      const text = readFileSync(machine.file, "utf8");
      const next = text.replace("bootstrap = true", "bootstrap = false");
      writeFileSync(machine.file, next);
    }
    const [program, ...args] = readCommand(machine.role);
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, BASILPIN_BOOT: machine.file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    machine.child = child;
    machine.output = [];
    machine.errors = "";
    let rest = "";
    child.stdout.on("data", (data) => {
      const lines = (rest + data).split("\n");
      rest = lines.pop();
      machine.output.push(...lines);
    });
    child.stderr.on("data", (data) => machine.errors += data);
    this.#children.add(child);
    machine.exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.#children.delete(child);
        machine.exit = { code, signal };
        resolve(machine.exit);
      })
    );
    machine.exit = undefined;
    await waitFor(
      () => machine.output.some((line) => line.includes("ProcessStarted")),
      10_000,
      `${machine.role} ${machine.ip} did not start: ${machine.errors}`,
    );
  }

  /** Kills a process and starts it again after a pause. */
  async restart(machine, pauseMs = 300) {
    machine.child.kill("SIGKILL");
    await machine.exited;
    await sleep(pauseMs);
    await this.launch(machine);
  }

  /** Sends a configuration until it has a clear answer. */
  async configure(body, base) {
    for (let attempt = 0; attempt < 100; attempt += 1) {
      const answer = await send(this.#seeds[attempt % this.#seeds.length], {
        method: "POST",
        path: "/Config.Replace",
        headers: { "Base-Version": base, "Content-Type": "application/json" },
        body,
      });
      if (answer.status !== undefined && answer.status < 500) {
        this.record.add("operator", { base, status: answer.status });
        return answer.status;
      }
      await sleep(100);
    }
    throw new CannotRun("no replica answered the configuration");
  }

  #killAll() {
    this.#children.forEach((child) => child.kill("SIGKILL"));
  }

  async end() {
    const waits = [...this.#children].map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    this.#killAll();
    await Promise.all(waits);
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Sends one request; the answer has no status if none came. */
export function send(address, { method = "GET", path, headers, body, agent }) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port,
      method,
      path,
      agent: agent ?? new http.Agent({ keepAlive: false }),
      headers: {
        ...headers,
        ...(body === undefined
          ? {}
          : { "Content-Length": Buffer.byteLength(body) }),
      },
    });
    request.on("error", (error) => resolve({ error: error.code }));
    request.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => resolve({ error: "cut" }));
      response.on("end", () =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString("latin1"),
        }));
    });
    request.end(body);
  });
}

/** Polls until a condition holds; the case can't run if it never does. */
export async function waitFor(isMet, limitMs, message) {
  const endMs = performance.now() + limitMs;
  while (!await isMet()) {
    if (performance.now() > endMs) {
      throw new CannotRun(message);
    }
    await sleep(20);
  }
}

export const HOST = "hulo84.example";

/** Creates the text of a configuration. */
export function createConfiguration(version, routes) {
  const services = [
    ...new Set(routes.map(({ service }) => service)),
  ];
  return JSON.stringify({
    version,
    resources: [
      ...routes.map((
        {
          prefix,
          service,
          type = "idempotent",
          timeoutMs = 5000,
          attempts = 2,
        },
      ) => ({
        type: "routes",
        meta: { name: `r${prefix.replaceAll("/", "-")}` },
        spec: {
          host: HOST,
          pathPrefix: prefix,
          routeType: type,
          timeoutMs,
          sloMs: 1500,
          priority: 0,
          service,
          attempts,
        },
      })),
      ...services.map((name) => ({
        type: "services",
        meta: { name },
        spec: {
          healthPath: "/health",
          maxConns: 424,
          protocol: "h1",
          tls: false,
        },
      })),
      {
        type: "limits",
        meta: {},
        spec: {
          maxHeaderBytes: 16384,
          maxBodyBytes: 67108864,
          headerTimeoutMs: 3000,
          idleTimeoutMs: 15000,
        },
      },
    ],
  });
}

/** Heartbeat body of an upstream. */
export function createHeartbeat({ addr, service, seq, born, state, slots }) {
  return JSON.stringify({
    addr,
    born,
    info: { service, version: "v1", zone: "hall-a", slots: slots ?? 16 },
    status: { state: state ?? "ready", seq, warmupLeftMs: 0 },
  });
}

/**
 * Upstream that speaks HTTP/1.1 over plain sockets, so that a case can decide
 * which bytes it sends. `serve` gets each request and its socket.
 */
export class Upstream {
  id;
  service;
  machine;
  born = Date.now();
  seq = 0;
  state = "ready";
  /** Requests that it began to run, oldest first. */
  runs = [];
  #server;
  #timer;
  #sockets = new Set();
  #serve;
  #record;

  constructor({ id, service, machine, serve, record }) {
    this.id = id;
    this.service = service;
    this.machine = machine;
    this.#serve = serve ?? ((request, socket) => answer(socket, request));
    this.#record = record;
  }

  async listen() {
    this.#server = net.createServer((socket) => this.#accept(socket));
    const [host, port] = this.machine.app.split(":");
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, resolve);
    });
  }

  /** Sends a heartbeat now and each `HEARTBEAT_MS`. */
  async announce(state = this.state) {
    clearInterval(this.#timer);
    this.state = state;
    this.#timer = setInterval(() => this.beat(), HEARTBEAT_MS);
    return await this.beat();
  }

  /** Creates the next heartbeat as a request. */
  createBeat() {
    const { id, service, born, state, machine } = this;
    this.seq += 1;
    return {
      method: "POST",
      path: `/Instances.Heartbeat/${id}`,
      headers: { "Content-Type": "application/json" },
      body: createHeartbeat({
        addr: machine.app,
        service,
        seq: this.seq,
        born,
        state,
      }),
    };
  }

  async beat() {
    const { status } = await send(this.machine.control, this.createBeat());
    this.#record?.add("heartbeat", {
      id: this.id,
      service: this.service,
      state: this.state,
      seq: this.seq,
      status,
    });
    return status;
  }

  async deregister() {
    clearInterval(this.#timer);
    const { status } = await send(this.machine.control, {
      method: "POST",
      path: `/Instances.Deregister/${this.id}`,
      headers: { "Content-Type": "application/json" },
      body: JSON.stringify({ born: this.born }),
    });
    this.#record?.add("deregister", { id: this.id, status });
    return status;
  }

  /** Ends as a crash does: connections are reset, and nothing listens. */
  async crash() {
    clearInterval(this.#timer);
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    await closed;
    this.#record?.add("upstream crashed", { id: this.id });
  }

  #accept(socket) {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let buffer = Buffer.alloc(0);
    // Requests of one connection are served one after the other.
    let served = Promise.resolve();
    socket.on("data", (data) => {
      buffer = Buffer.concat([buffer, data]);
      for (;;) {
        // An empty line before a request is ignored (RFC 9112, 2.2).
        while (buffer[0] === 13 || buffer[0] === 10) {
          buffer = buffer.subarray(1);
        }
        const end = buffer.indexOf("\r\n\r\n");
        if (end < 0) {
          return;
        }
        const [first, ...lines] = buffer.subarray(0, end).toString("latin1")
          .split("\r\n");
        const headers = Object.fromEntries(lines.map((line) => {
          const colon = line.indexOf(":");
          return [
            line.slice(0, colon).toLowerCase(),
            line.slice(colon + 1).trim(),
          ];
        }));
        const length = Number(headers["content-length"] ?? 0);
        if (buffer.length < end + 4 + length) {
          return;
        }
        const body = buffer.subarray(end + 4, end + 4 + length);
        buffer = buffer.subarray(end + 4 + length);
        const [method, path] = first.split(" ");
        const request = { method, path, headers, body };
        served = served.then(() => this.#receive(request, socket));
      }
    });
  }

  async #receive(request, socket) {
    const id = request.headers["request-id"];
    if (id === undefined || request.path === "/health") {
      answer(socket, request, { headers: { "Instance-Id": this.id } });
      return;
    }
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.#record?.add("421", { id, expected, instance: this.id });
      answer(socket, request, { status: 421, seal: false });
      return;
    }
    this.runs.push({
      id,
      path: request.path,
      caller: request.headers["caller-service"],
      atMs: nowMs(),
    });
    this.#record?.add("run", {
      id,
      at: this.id,
      service: this.service,
      caller: request.headers["caller-service"],
    });
    await this.#serve(request, socket, this);
  }
}

/** Writes an answer as upstreams do: whole, sealed, with the request's id. */
export function answer(socket, request, options = {}) {
  socket.write(formatAnswer(request, options));
}

export function formatAnswer(request, options = {}) {
  const { status = 200, seal = true, echo = true, headers = {} } = options;
  const id = request.headers["request-id"];
  const body = options.body ?? (status === 200 ? `answer to ${id}` : "");
  const lines = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
    ...(echo && id !== undefined ? [`Request-Id: ${id}`] : []),
    ...(seal ? [`Server-Seal: seal-${id}`] : []),
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Runs a case: exits with 0 if the rule held, 1 if not, 2 if it can't run. */
export async function runCase(folder, play) {
  const record = new Record(path.join(folder, "record.txt"));
  const hasTrouble = process.env.TROUBLE !== "0";
  const limit = setTimeout(() => {
    record.add("given up after 110 s");
    record.write();
    process.exit(2);
  }, 110_000);
  let code = 2;
  let fleet;
  try {
    fleet = new Fleet(record);
    record.add("start", { trouble: hasTrouble });
    const broken = await play({ fleet, record, hasTrouble });
    code = broken ? 1 : 0;
    record.add(broken ? "RULE BROKEN" : "rule held");
  } catch (error) {
    record.add("the case can't run", { error: String(error?.stack ?? error) });
  } finally {
    await fleet?.end();
    clearTimeout(limit);
    record.write();
  }
  process.exit(code);
}

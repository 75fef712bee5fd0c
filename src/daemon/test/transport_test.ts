/** TLS between processes, and credentials of operators. */
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Agent, request } from "undici";
import { WebSocket } from "ws";
import { encodeMessage } from "../../base/node/message_codec.ts";
import { PEER_PATH } from "../../engine/peer/common/peer_messages.ts";
import { findCertificate, Fleet, readRuns } from "../../../standin/fleet.ts";
import type { FleetControl, FleetNode } from "../../../standin/fleet.ts";

const TABLE = "examples/coton-loukkos/table.csv";
const TOKEN = "token-of-amal";
const WAIT_LIMIT_MS = 20_000;
const POLL_INTERVAL_MS = 50;

/** Clients by the certificate that they present; all trust the authority. */
const CLIENTS = {
  "of the authority": createKeys("process"),
  "without a certificate": {},
  "of another authority": createKeys("stranger"),
  "whose certificate is expired": createKeys("expired"),
} as const;
type ClientName = keyof typeof CLIENTS;
const STRANGERS = Object.keys(CLIENTS).slice(1) as readonly ClientName[];

function createKeys(name: string) {
  return {
    cert: readFileSync(findCertificate(name)),
    key: readFileSync(findCertificate(`${name}_key`)),
  };
}

function createOptions(client: ClientName) {
  return {
    ca: readFileSync(findCertificate("authority")),
    checkServerIdentity: () => undefined,
    ...CLIENTS[client],
  };
}

/** Returns the status, or `refused` if no answer was received. */
async function tryRequest(
  url: string,
  client: ClientName,
  body?: Uint8Array,
): Promise<number | "refused"> {
  const agent = new Agent({ connect: createOptions(client) });
  try {
    const answer = await request(url, {
      dispatcher: agent,
      method: body === undefined ? "GET" : "POST",
      body: body ?? null,
    });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    return "refused";
  } finally {
    await agent.destroy();
  }
}

function tryLink(url: string, client: ClientName): Promise<string> {
  return new Promise((resolve) => {
    const options = createOptions(client) as object;
    const socket = new WebSocket(url, options);
    socket.on("open", () => {
      resolve("open");
      socket.terminate();
    });
    socket.on("error", () => resolve("refused"));
  });
}

async function waitUntil(isMet: () => Promise<boolean>): Promise<void> {
  const endMs = Date.now() + WAIT_LIMIT_MS;
  while (!await isMet()) {
    expect(Date.now(), "waited too long").to.be.lessThan(endMs);
    await sleep(POLL_INTERVAL_MS);
  }
}

describe("transport by TLS", () => {
  let fleet: Fleet;
  let controls: readonly FleetControl[];
  let provenance: FleetNode;
  let custody: FleetNode;
  let tokenFile: string;

  before(async () => {
    fleet = new Fleet({
      isTls: true,
      isEdgeTls: true,
      tokens: { amal: TOKEN, badr: "token-of-badr" },
    });
    controls = await fleet.startControls([
      ["control-a", "kenitra-a"],
      ["control-b", "kenitra-b"],
      ["control-c", "kenitra-c"],
    ]);
    provenance = await fleet.startNode({
      id: "provenance-1",
      service: "provenance",
      dataCentre: "kenitra-a",
    });
    custody = await fleet.startNode({
      id: "custody-1",
      service: "custody",
      dataCentre: "kenitra-a",
      downstream: { "POST /transfers": ["/bales/7"] },
    });
    tokenFile = join(fleet.folder, "amal.token");
    writeFileSync(tokenFile, `${TOKEN}\n`);
    const applied = await runAsAmal("table", "apply", TABLE, "--wait");
    expect(applied.exitCode, applied.stderr).to.equal(0);
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  function runAsAmal(...args: readonly string[]) {
    return fleet.run("--token-file", tokenFile, ...args);
  }

  async function readHistory(): Promise<readonly { operator: string }[]> {
    const { stdout } = await fleet.run("table", "history", "--json");
    return JSON.parse(stdout) as readonly { operator: string }[];
  }

  it("carries calls over two nodes and through a backend server", async () => {
    const dispatcher = new Agent({
      connect: createOptions("without a certificate"),
    });
    const answer = await request(`https://${provenance.edge}/transfers`, {
      dispatcher,
      method: "POST",
      headers: { "idempotency-key": "t-1" },
      body: JSON.stringify({ bale: 7 }),
    });
    const body = await answer.body.json() as Record<string, unknown>;
    await dispatcher.close();
    expect(answer.statusCode).to.equal(200);
    expect(answer.headers["basilpin-outcome"]).to.equal("ran");
    expect(body["backend"]).to.equal(custody.backendAddress);
    expect(body["downstream"]).to.deep.equal([200]);
  });

  it("shows the state and the time line of all processes", async () => {
    const status = await fleet.run("status", "--json");
    const { nodes, cluster } = JSON.parse(status.stdout) as {
      nodes: readonly { nodeId: string }[];
      cluster: { members: readonly { isSilent: boolean }[] };
    };
    expect(nodes.map(({ nodeId }) => nodeId).toSorted())
      .to.deep.equal(["custody-1", "provenance-1"]);
    expect(cluster.members.map(({ isSilent }) => isSilent))
      .to.deep.equal([false, false, false]);
    const timeline = await fleet.run("timeline", "--json");
    const records = JSON.parse(timeline.stdout) as { process: string }[];
    const processes = new Set(records.map((record) => record.process));
    expect([...processes].toSorted()).to.deep.equal([
      "control-a",
      "control-b",
      "control-c",
      "custody-1",
      "provenance-1",
    ]);
  });

  it("logs no warning of plain text", () => {
    for (const { log } of [...controls, provenance, custody]) {
      expect(log.join("\n")).to.contain("ProcessStarted");
      expect(log.join("\n")).not.to.contain("plain text");
      expect(log.join("\n")).not.to.contain("may edit");
    }
  });

  it("accepts a client of the authority", async () => {
    const client = "of the authority";
    const ingress = `https://${provenance.ingress}`;
    const peer = encodeMessage({ type: "Unknown" });
    expect(await tryRequest(`${ingress}/bales/1`, client)).to.equal(400);
    expect(await tryRequest(`${ingress}${PEER_PATH}`, client, peer))
      .to.equal(400);
    expect(await tryLink(`wss://${controls[0]!.link}/`, client))
      .to.equal("open");
  });

  for (const client of STRANGERS) {
    it(`keeps a client ${client} off ingress and the link`, async () => {
      const before = await readRuns(provenance.backendAddress);
      const ingress = `https://${provenance.ingress}`;
      const peer = encodeMessage({ type: "Unknown" });
      expect(await tryRequest(`${ingress}/bales/1`, client)).to.equal(
        "refused",
      );
      expect(await tryRequest(`${ingress}${PEER_PATH}`, client, peer))
        .to.equal("refused");
      for (const { link } of controls) {
        expect(await tryLink(`wss://${link}/`, client)).to.equal("refused");
      }
      const after = await readRuns(provenance.backendAddress);
      expect(after.started).to.equal(before.started);
    });
  }

  it("refuses plain HTTP on every listener but egress", async () => {
    const { edge, ingress, operator } = custody;
    const ports = [edge, ingress, operator, controls[0]!.operator];
    for (const address of [...ports, controls[0]!.link]) {
      expect(await tryRequest(`http://${address}/bales/1`, "of the authority"))
        .to.equal("refused");
    }
    expect(await tryLink(`ws://${controls[0]!.link}/`, "of the authority"))
      .to.equal("refused");
  });

  it("links no node whose certificate is of another authority", async () => {
    const settings = readFileSync(join(fleet.folder, "custody-1.toml"), "utf8");
    const file = join(fleet.folder, "stranger.toml");
    const stranger = settings
      .replaceAll('"custody-1"', '"stranger-1"')
      .replaceAll(
        /"127\.0\.0\.1:\d+"/g,
        (address) =>
          controls.some(({ link }) => address === `"${link}"`)
            ? address
            : '"127.0.0.1:0"',
      )
      .replace("process.pem", "stranger.pem")
      .replace("process_key.pem", "stranger_key.pem");
    writeFileSync(file, stranger);
    const started = await fleet.startDaemon("stranger-1", file);
    await sleep(1_500);
    const { stdout } = await fleet.run("status");
    expect(stdout).to.contain("custody-1");
    expect(stdout).not.to.contain("stranger-1");
    await fleet.stop(started, "SIGKILL");
  });

  it("names the operator of the token, whatever the request says", async () => {
    const edit = ["table", "edit", "bale-lookup", "weight=7"];
    const edited = await runAsAmal(...edit, "--operator", "badr");
    expect(edited.exitCode, edited.stderr).to.equal(0);
    expect((await readHistory()).at(-1)!.operator).to.equal("amal");
  });

  it("changes nothing without a known token", async () => {
    const before = await readHistory();
    const wrong = join(fleet.folder, "wrong.token");
    writeFileSync(wrong, "token-of-nobody");
    for (const access of [[], ["--token-file", wrong]]) {
      const edit = ["table", "edit", "bale-lookup", "weight=9"];
      const edited = await fleet.run(...access, ...edit, "--operator", "amal");
      expect(edited.exitCode).to.equal(6);
      expect(edited.stderr).to.contain("token");
      expect(edited.stderr).to.contain("Nothing was changed");
      const drained = await fleet.run(...access, "drain", "custody-1");
      expect(drained.exitCode).to.equal(6);
    }
    const own = `https://${custody.operator}/drain`;
    const client = "of the authority";
    expect(await tryRequest(own, client, new Uint8Array(0))).to.equal(401);
    expect(await readHistory()).to.deep.equal(before);
    const { stdout } = await fleet.run("status");
    expect(stdout).not.to.contain("draining");
  });

  it("reports to an operator what is wrong with TLS", async () => {
    const other = findCertificate("other_authority");
    const wrong = await fleet.run("--authority", other, "status");
    expect(wrong.exitCode).to.equal(4);
    expect(wrong.stderr).to.contain("certificate is not of the authority");
    expect(wrong.stderr).to.contain("Name by --authority");
    const missing = await fleet.run("--authority", "missing.pem", "status");
    expect(missing.exitCode).to.equal(2);
    expect(missing.stderr).to.contain("--authority missing.pem: can't read");
    const token = await fleet.run("--token-file", "missing", "status");
    expect(token.exitCode).to.equal(2);
  });

  it("serves calls again after a node was killed and came back", async () => {
    await fleet.stop(custody, "SIGKILL");
    await fleet.startDaemon(
      "custody-1",
      join(fleet.folder, "custody-1.toml"),
    );
    const client = "without a certificate";
    await waitUntil(async () =>
      await tryRequest(`https://${custody.edge}/bales/1`, client) === 200
    );
  });
});

describe("transport in plain text", () => {
  let fleet: Fleet;

  before(async () => {
    fleet = new Fleet();
    await fleet.startControl("control-a", "kenitra-a");
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  it("says in the log what is left unprotected", async () => {
    const control = await fleet.startControl("control-b", "kenitra-a");
    const lines = control.log.filter((line) => line.includes("nyone"));
    expect(lines).to.have.length(2);
    expect(lines[0]).to.contain("Transport is plain text");
    expect(lines[1]).to.contain("Anyone who reaches the operator listener");
    expect(lines.map((line) => JSON.parse(line).context.logLevel))
      .to.deep.equal([40, 40]);
  });

  it("reports plain text to a client that uses TLS", async () => {
    const authority = findCertificate("authority");
    const asked = await fleet.run("--authority", authority, "status");
    expect(asked.exitCode).to.equal(4);
    expect(asked.stderr).to.contain("answers in plain text, not in TLS");
  });

  it("does not start on a key that can't be read", async () => {
    const file = join(fleet.folder, "control-a.toml");
    const text = readFileSync(file, "utf8").replace(
      'transport = "plaintext"',
      'transport = "tls"\ncertificate = "no.pem"\nkey = "no.pem"\n' +
        'authority = "no.pem"',
    );
    const bad = fleet.folder + "/bad.toml";
    writeFileSync(bad, text);
    const failure = await fleet.startDaemon("bad", bad)
      .then(() => "up", (error: Error) => error.message);
    expect(failure).to.equal(
      `bad ended with 2: ${bad}: security.certificate: no.pem: can't read ` +
        "(ENOENT)",
    );
  });
});

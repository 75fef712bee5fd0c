/**
 * An upstream makes a call while the node beside it is stopped. It opened the
 * connection before the node stopped to listen, and uses it after that.
 */
import net from "node:net";
import {
  createConfiguration,
  formatAnswer,
  HOST,
  nowMs,
  runCase,
  send,
  sleep,
  STABLE_MS,
  Upstream,
  waitFor,
} from "../lib/fleet.mjs";

const GRACE_MS = 6_000;
/** Longest deadline of the sheet of mstt-mesh. */
const DEADLINE_MS = 6_000;
/** When the late connection is opened and used, from SIGTERM on. */
const LATE_OPENED_MS = 2_300;
const LATE_SENT_MS = 3_200;
const LATE_RUN_MS = 2_300;

/** Sends a request on a connection that was opened before. */
class LateClient {
  text = "";
  closedAtMs;
  #socket;

  constructor(address) {
    const [host, port] = address.split(":");
    this.#socket = net.connect(Number(port), host);
    this.#socket.on("data", (chunk) => this.text += chunk);
    this.#socket.on("error", (error) => this.error = error.code);
    this.#socket.on("close", () => this.closedAtMs ??= nowMs());
  }

  send(text) {
    this.#socket.write(text);
  }

  end() {
    this.#socket.destroy();
  }
}

/** Sends SIGTERM, and SIGKILL after `graceS`, as the platform does. */
function terminate(node) {
  const { child } = node;
  child.kill("SIGTERM");
  const timer = setTimeout(() => child.kill("SIGKILL"), GRACE_MS);
  child.once("exit", () => clearTimeout(timer));
}

/**
 * Returns whether a late request ran and its connection ended without answer. It
 * is a call that the upstream beside the node makes for a request that it runs,
 * as that one goes on while the node is stopped.
 */
async function playLateRequest({ record, hasTrouble, node, other, state }) {
  const parent = send(other.outbound, {
    method: "POST",
    path: "/desk/1",
    headers: {
      "Host": HOST,
      "Request-Id": "parent-1",
      "Deadline-Ms": String(DEADLINE_MS),
    },
    body: "",
  });
  await waitFor(() => state.ran.has("parent-1"), 5_000, "the parent waits");
  const runAtMs = nowMs();
  const termAtMs = nowMs();
  if (hasTrouble) {
    terminate(node);
    record.add("SIGTERM to the node");
  }
  await sleep(LATE_OPENED_MS);
  const client = new LateClient(node.outbound);
  await sleep(LATE_SENT_MS - LATE_OPENED_MS);
  // The call expires with the request that it is made for.
  const leftMs = DEADLINE_MS - (nowMs() - runAtMs) - 50;
  client.send(
    `POST /transfer/2 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: late-1\r\n` +
      `Deadline-Ms: ${leftMs}\r\nContent-Length: 0\r\n\r\n`,
  );
  record.add("call sent", {
    id: "late-1",
    deadlineMs: leftMs,
    afterTermMs: nowMs() - termAtMs,
  });
  const hasWhole = () => client.text.endsWith("\r\n\r\nanswer to late-1");
  const endMs = termAtMs + GRACE_MS + 1_000;
  while (!hasWhole() && client.closedAtMs === undefined && nowMs() < endMs) {
    await sleep(10);
  }
  const isWhole = hasWhole();
  const hasRun = state.ran.has("late-1");
  record.add("call, at the end", {
    id: "late-1",
    hasRun,
    isWhole,
    got: client.text.slice(0, 40),
    error: client.error,
    closedAfterTermMs: client.closedAtMs === undefined
      ? undefined
      : client.closedAtMs - termAtMs,
  });
  const hasEnded = client.closedAtMs !== undefined;
  client.end();
  state.endParent();
  const { status } = await parent;
  record.add("answer to the parent", { status });
  return hasRun && hasEnded && !isWhole;
}

await runCase(import.meta.dirname, async ({ fleet, record, hasTrouble }) => {
  await fleet.start();
  const front = await fleet.startNode("front");
  const back = await fleet.startNode("back");
  const state = { ran: new Set(), endParent: () => {} };
  const isParentDone = new Promise((resolve) => state.endParent = resolve);
  const frontServer = new Upstream({
    id: "i-front",
    service: "front",
    machine: front,
    record,
    serve: async (request, socket) => {
      state.ran.add(request.headers["request-id"]);
      await isParentDone;
      socket.write(formatAnswer(request));
    },
  });
  const server = new Upstream({
    id: "i-back",
    service: "back",
    machine: back,
    record,
    serve: async (request, socket) => {
      const id = request.headers["request-id"];
      state.ran.add(id);
      await sleep(id === "late-1" ? LATE_RUN_MS : 0);
      socket.write(formatAnswer(request));
      record.add("run ended, answer sent", { id });
    },
  });
  for (const upstream of [frontServer, server]) {
    await upstream.listen();
    await upstream.announce();
  }
  const routes = [
    {
      prefix: "/desk/",
      service: "front",
      type: "non_idempotent",
      timeoutMs: 8_000,
    },
    {
      prefix: "/transfer/",
      service: "back",
      type: "non_idempotent",
      timeoutMs: 8_000,
    },
  ];
  await fleet.configure(createConfiguration("00000005", routes), "00000000");
  await waitFor(
    async () => {
      const { status } = await send(front.outbound, {
        method: "POST",
        path: "/transfer/0",
        headers: {
          "Host": HOST,
          "Request-Id": `w${nowMs()}`,
          "Deadline-Ms": "2000",
        },
      });
      return status === 200;
    },
    10_000,
    "no request was served",
  );
  await sleep(STABLE_MS);

  const play = { record, hasTrouble, node: front, other: back, state };
  const isLost = await playLateRequest(play);
  record.add("LOST", { isLost });
  return isLost;
});

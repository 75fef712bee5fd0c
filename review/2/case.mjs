/**
 * Two requests around the SIGTERM of the node that takes them.
 *
 * a: A client reads a large answer slowly. Its upstream ended the run long
 * before the SIGTERM.
 *
 * b: A connection is opened before the node stops to listen, and carries its
 * first request after that.
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

const BODY_BYTES = 16_000_000;
/** Rate at which the client reads at first. */
const SLOW_BYTES_PER_S = 300_000;
const READ_INTERVAL_MS = 20;
/** Time from the request to SIGTERM. */
const BEFORE_MS = 500;
/** Time from SIGTERM until the client reads as fast as it can. */
const SLOW_MS = 3_200;
const GRACE_MS = 6_000;
const DEADLINE_MS = 15_000;
/** Run of a request that keeps the second node at work, from before SIGTERM. */
const LONG_RUN_MS = 4_800;
/** When the late connection is opened and used, from SIGTERM on. */
const LATE_OPENED_MS = 2_300;
const LATE_SENT_MS = 3_200;
const LATE_RUN_MS = 2_500;

/** Reads one answer, slowly at first; counts the bytes of its body. */
class SlowClient {
  bytes = 0;
  bodyLength;
  closedAtMs;
  #socket;
  #head = Buffer.alloc(0);
  #timer;

  constructor(address, text) {
    const [host, port] = address.split(":");
    this.#socket = net.connect(Number(port), host);
    this.#socket.on("readable", () => {});
    this.#socket.on("error", (error) => this.error = error.code);
    this.#socket.on("close", () => this.closedAtMs = nowMs());
    this.#socket.write(text);
    this.#timer = setInterval(() => this.#readSlowly(), READ_INTERVAL_MS);
  }

  get isWhole() {
    return this.bodyLength !== undefined && this.bytes >= this.bodyLength;
  }

  /** Reads as fast as it can from now on. */
  hurry() {
    clearInterval(this.#timer);
    this.#socket.removeAllListeners("readable");
    this.#socket.on("data", (chunk) => this.#receive(chunk));
    this.#socket.resume();
  }

  end() {
    clearInterval(this.#timer);
    this.#socket.destroy();
  }

  #readSlowly() {
    const count = Math.min(
      SLOW_BYTES_PER_S * READ_INTERVAL_MS / 1_000,
      this.#socket.readableLength,
    );
    const chunk = this.#socket.read(count);
    if (chunk !== null) {
      this.#receive(chunk);
    }
  }

  #receive(chunk) {
    if (this.bodyLength !== undefined) {
      this.bytes += chunk.length;
      return;
    }
    this.#head = Buffer.concat([this.#head, chunk]);
    const end = this.#head.indexOf("\r\n\r\n");
    if (end >= 0) {
      const head = this.#head.subarray(0, end).toString("latin1");
      this.status = Number(head.split(" ")[1]);
      this.bodyLength = Number(/^content-length: *(\d+)/im.exec(head)[1]);
      this.bytes = this.#head.length - end - 4;
    }
  }
}

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

/** Returns whether a slow client's answer was cut. */
async function playSlowReader({ fleet, record, hasTrouble, node, state }) {
  const sentAtMs = nowMs();
  const client = new SlowClient(
    node.outbound,
    `GET /photos/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: batch-1\r\n` +
      `Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
  );
  record.add("a: request sent", { id: "batch-1", deadlineMs: DEADLINE_MS });
  await sleep(BEFORE_MS);
  const describe = () => ({
    status: client.status,
    readBytes: client.bytes,
    ofBytes: client.bodyLength,
  });
  record.add("a: client", describe());
  const isAnsweredByUpstream = state.ended.has("batch-1");
  const termAtMs = nowMs();
  if (hasTrouble) {
    node.child.kill("SIGTERM");
    record.add("a: SIGTERM to the node that took the request");
  }
  await sleep(SLOW_MS);
  record.add("a: client", describe());
  client.hurry();
  const endMs = termAtMs + GRACE_MS;
  while (!client.isWhole && client.closedAtMs === undefined) {
    if (nowMs() > endMs) {
      break;
    }
    await sleep(10);
  }
  // What was sent before the connection ended may still be unread.
  await sleep(300);
  client.end();
  record.add("a: client, at the end", {
    ...describe(),
    isWhole: client.isWhole,
    error: client.error,
    sinceRequestMs: nowMs() - sentAtMs,
    nodeExit: node.exit,
  });
  if (!isAnsweredByUpstream) {
    record.add("a: the upstream had not sent its answer before SIGTERM");
  }
  if (hasTrouble) {
    await waitFor(() => node.exit !== undefined, 8_000, "the node stays");
    await fleet.launch(node);
    await sleep(STABLE_MS);
  }
  return isAnsweredByUpstream && !client.isWhole;
}

/** Returns whether a late request ran and its connection ended without answer. */
async function playLateRequest({ record, hasTrouble, node, state }) {
  const long = send(node.outbound, {
    method: "POST",
    path: "/transfer/1",
    headers: {
      "Host": HOST,
      "Request-Id": "long-1",
      "Deadline-Ms": String(DEADLINE_MS),
    },
    body: "",
  });
  await sleep(300);
  const termAtMs = nowMs();
  if (hasTrouble) {
    node.child.kill("SIGTERM");
    record.add("b: SIGTERM to the node");
  }
  await sleep(LATE_OPENED_MS);
  const client = new LateClient(node.outbound);
  await sleep(LATE_SENT_MS - LATE_OPENED_MS);
  client.send(
    `POST /transfer/2 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: late-1\r\n` +
      `Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n`,
  );
  record.add("b: request sent", {
    id: "late-1",
    afterTermMs: nowMs() - termAtMs,
  });
  const { status } = await long;
  record.add("b: answer", { id: "long-1", status });
  await sleep(termAtMs + GRACE_MS + 1_000 - nowMs());
  const isWhole = client.text.endsWith("\r\n\r\nanswer to late-1");
  const hasRun = state.ran.has("late-1");
  record.add("b: client, at the end", {
    id: "late-1",
    hasRun,
    isWhole,
    got: client.text.slice(0, 40),
    error: client.error,
    closedAfterTermMs: client.closedAtMs === undefined
      ? undefined
      : client.closedAtMs - termAtMs,
  });
  client.end();
  return hasRun && !isWhole && client.closedAtMs !== undefined;
}

await runCase(import.meta.dirname, async ({ fleet, record, hasTrouble }) => {
  await fleet.start();
  const front = await fleet.startNode("front");
  const back = await fleet.startNode("back");
  const state = { ran: new Set(), ended: new Set() };
  const frontServer = new Upstream({
    id: "i-front",
    service: "front",
    machine: front,
    record,
  });
  const server = new Upstream({
    id: "i-back",
    service: "back",
    machine: back,
    record,
    serve: async (request, socket) => {
      const id = request.headers["request-id"];
      state.ran.add(id);
      const runMs = id === "long-1"
        ? LONG_RUN_MS
        : id === "late-1"
        ? LATE_RUN_MS
        : 0;
      await sleep(runMs);
      const body = id === "batch-1" ? "x".repeat(BODY_BYTES) : undefined;
      socket.write(formatAnswer(request, { body }), () => {
        state.ended.add(id);
        record.add("run ended, answer sent", { id });
      });
    },
  });
  for (const upstream of [frontServer, server]) {
    await upstream.listen();
    await upstream.announce();
  }
  const routes = [
    { prefix: "/photos/", service: "back", timeoutMs: 20_000 },
    {
      prefix: "/transfer/",
      service: "back",
      type: "non_idempotent",
      timeoutMs: 20_000,
    },
  ];
  await fleet.configure(createConfiguration("00000005", routes), "00000000");
  await waitFor(
    async () => {
      const { status } = await send(front.outbound, {
        path: "/photos/0",
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

  const play = { fleet, record, hasTrouble, node: front, state };
  const isCut = await playSlowReader(play);
  const isLost = await playLateRequest(play);
  record.add("LOST", { a: isCut, b: isLost });
  return isCut || isLost;
});

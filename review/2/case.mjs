/**
 * A client reads a large answer slowly, and the node that took its request gets
 * SIGTERM meanwhile. The upstream ended its run long before.
 */
import net from "node:net";
import {
  answer,
  createConfiguration,
  HOST,
  nowMs,
  runCase,
  send,
  sleep,
  STABLE_MS,
  Upstream,
  waitFor,
} from "../lib/fleet.mjs";

const BODY_BYTES = 14_000_000;
/** Rate at which the client reads at first. */
const SLOW_BYTES_PER_S = 300_000;
const READ_INTERVAL_MS = 20;
/** Time from the request to SIGTERM. */
const BEFORE_MS = 500;
/** Time from SIGTERM until the client reads as fast as it can. */
const SLOW_MS = 3_200;
const GRACE_MS = 6_000;
const DEADLINE_MS = 15_000;

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

await runCase(import.meta.dirname, async ({ fleet, record, hasTrouble }) => {
  await fleet.start();
  const front = await fleet.startNode("front");
  const back = await fleet.startNode("back");
  let ranUntilMs;
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
    serve: (request, socket) => {
      const id = request.headers["request-id"];
      const isBatch = id.startsWith("batch");
      const body = "x".repeat(isBatch ? BODY_BYTES : 10);
      socket.write(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal-${id}\r\n` +
          `Content-Length: ${body.length}\r\n\r\n${body}`,
        () => {
          ranUntilMs = nowMs();
          record.add("run ended, answer sent", { id, bytes: body.length });
        },
      );
    },
  });
  for (const upstream of [frontServer, server]) {
    await upstream.listen();
    await upstream.announce();
  }
  const routes = [{ prefix: "/photos/", service: "back", timeoutMs: 20_000 }];
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
  const sentAtMs = nowMs();
  const client = new SlowClient(
    front.outbound,
    `GET /photos/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: batch-1\r\n` +
      `Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
  );
  record.add("request sent", { id: "batch-1", deadlineMs: DEADLINE_MS });
  await sleep(BEFORE_MS);
  const describe = () => ({
    status: client.status,
    readBytes: client.bytes,
    ofBytes: client.bodyLength,
  });
  record.add("client", describe());
  const isAnsweredByUpstream = ranUntilMs !== undefined;
  const termAtMs = nowMs();
  if (hasTrouble) {
    front.child.kill("SIGTERM");
    record.add("SIGTERM to the node that took the request");
  }
  await sleep(SLOW_MS);
  record.add("client", describe());
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
  record.add("client, at the end", {
    ...describe(),
    isWhole: client.isWhole,
    error: client.error,
    closedAfterTermMs: client.closedAtMs === undefined
      ? undefined
      : client.closedAtMs - termAtMs,
    sinceRequestMs: nowMs() - sentAtMs,
    nodeExit: front.exit,
  });
  if (!isAnsweredByUpstream) {
    record.add("the upstream had not ended its answer before SIGTERM");
  }
  return !client.isWhole;
});

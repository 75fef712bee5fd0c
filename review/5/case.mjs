/** An upstream whose answer comes without end, in chunks of one byte. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  Client,
  configure,
  createRoute,
  createService,
  LIMITS,
  listLost,
  runCase,
  sleep,
  startPair,
  waitFor,
} from "../standins-2.mjs";

const MAX_LOST = 3;
const STABLE_WINDOW_MS = 3_000;
const TROUBLE_AT_MS = 3_000;
/** The doses of `garble` in the site file: 0.05 of the answers, for 5 s. */
const TROUBLE_MS = 5_000;
const SPOILT_EVERY = 20;
const TRAFFIC_MS = 16_000;
const INTERVAL_MS = 20;
const CHUNK = "1\r\na\r\n";
const CHUNKS_PER_WRITE = 16_384;

/** Waits until more can be written, or the connection is closed. */
function waitForRoom(socket) {
  return new Promise((resolve) => {
    const end = () => {
      socket.off("drain", end).off("close", end);
      resolve();
    };
    socket.on("drain", end).on("close", end);
  });
}

/** Writes a head, then chunks until the connection is closed. */
async function answerWithoutEnd(record, response, answer) {
  const { socket } = response;
  const lines = Object.entries(answer)
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  socket.write(
    `HTTP/1.1 200 OK\r\n${lines}Transfer-Encoding: chunked\r\n\r\n`,
  );
  const part = Buffer.from(CHUNK.repeat(CHUNKS_PER_WRITE));
  let written = 0;
  while (!socket.destroyed) {
    written += CHUNKS_PER_WRITE;
    if (!socket.write(part)) {
      await waitForRoom(socket);
    }
    await sleep(0);
  }
  record.write(`the caller closed after ${written} chunks`);
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {},
  async ({ fleet, record, hasTrouble }) => {
    await fleet.startReplicas(3);
    const pairs = await Promise.all([
      startPair(fleet, record, "sidecar-1", "huvo11a"),
      startPair(fleet, record, "sidecar-2", "huvo11a"),
      startPair(fleet, record, "sidecar-3", "wuno96b"),
      startPair(fleet, record, "sidecar-4", "wuno96b"),
    ]);
    pairs.forEach(({ upstream }) => upstream.workMs = 340);
    const status = await configure(fleet, record, {
      version: "00000007",
      resources: [
        createRoute("lookup", "huvo11a"),
        createRoute("check", "wuno96b"),
        createService("huvo11a"),
        createService("wuno96b"),
        LIMITS,
      ],
    }, "00000000");
    if (status !== 200) {
      throw new Error("the configuration was not acknowledged");
    }
    const clients = pairs.map(({ node }) =>
      new Client(node, record, `c-${node.name}`)
    );
    for (const client of clients) {
      await waitFor(async () =>
        (await client.call("/lookup/w")).status === 200 &&
        (await client.call("/check/w")).status === 200
      );
    }
    await sleep(STABLE_WINDOW_MS);
    clients.forEach((client) => client.answers.length = 0);
    const spoiling = pairs[2].upstream;
    let isSpoiling = false;
    let count = 0;
    spoiling.spoil = (request, response, answer) => {
      if (!isSpoiling || count++ % SPOILT_EVERY > 0) {
        return false;
      }
      record.write(`an answer without end to ${request.headers["request-id"]}`);
      answerWithoutEnd(record, response, answer).catch(() => {});
      return true;
    };
    const calls = [];
    const traffic = setInterval(() =>
      clients.forEach((client) => {
        calls.push(client.call("/lookup/1"));
        calls.push(client.call("/check/1"));
      }), INTERVAL_MS);
    const samples = setInterval(
      () =>
        pairs.forEach(({ node }) =>
          record.write(`. ${node.name}: ${fleet.readMemoryMb(node)} MB`)
        ),
      250,
    );
    await sleep(TROUBLE_AT_MS);
    isSpoiling = hasTrouble;
    await sleep(TROUBLE_MS);
    isSpoiling = false;
    await sleep(TRAFFIC_MS - TROUBLE_AT_MS - TROUBLE_MS);
    clearInterval(traffic);
    await Promise.all(calls);
    clearInterval(samples);
    clients.forEach((client) => client.close());
    // The faulty upstream doesn't count as a sound one, whatever it ran.
    const sound = pairs.map(({ upstream }) => upstream)
      .filter((upstream) => upstream !== spoiling);
    let worst = 0;
    pairs.forEach(({ node }, index) => {
      const { answers } = clients[index];
      const unanswered = answers.filter(({ status }) => status === 0);
      const lost = listLost(answers, sound).length;
      const ends = node.ends.filter(({ isOwn }) => isOwn).length;
      worst = Math.max(worst, lost);
      record.write(
        `${node.name}: ${answers.length} requests, ${unanswered.length} ` +
          `without an answer, ${lost} of these passed on to a sound upstream; ` +
          `the process ended ${ends} times by itself`,
      );
      node.lines.filter((line) => !line.startsWith("{")).slice(0, 12)
        .forEach((line) => record.write(`stderr of ${node.name}: ${line}`));
    });
    return worst > MAX_LOST
      ? `BROKEN: LOST, ${worst} connections closed without an answer`
      : undefined;
  },
);

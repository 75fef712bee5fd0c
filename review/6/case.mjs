/** A heartbeat of another writer whose address can't be read. */
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
  send,
  sleep,
  startPair,
  waitFor,
} from "../standins-2.mjs";

/** More lost requests than this break the rule. */
const MAX_LOST = 3;
/** From the rules: a machine is in touch after this time without trouble. */
const STABLE_WINDOW_MS = 3_000;
const TRAFFIC_MS = 8_000;
const TROUBLE_AT_MS = 4_000;
const LOOKUP_INTERVAL_MS = 20;
const TRANSFER_INTERVAL_MS = 100;

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
    pairs.forEach(({ upstream }) => upstream.workMs = 200);
    const status = await configure(fleet, record, {
      version: "00000007",
      resources: [
        createRoute("lookup", "huvo11a"),
        createRoute("transfer", "wuno96b", { routeType: "non_idempotent" }),
        createService("huvo11a"),
        createService("wuno96b"),
        LIMITS,
      ],
    }, "00000000");
    if (status !== 200) {
      throw new Error("the configuration was not acknowledged");
    }
    const { node } = pairs[2];
    const clients = pairs.map(({ node }) =>
      new Client(node, record, `c-${node.name}`)
    );
    for (const client of clients) {
      await waitFor(async () =>
        (await client.call("/lookup/w")).status === 200 &&
        (await client.call("/transfer/w", { method: "POST" })).status === 200
      );
    }
    await sleep(STABLE_WINDOW_MS);
    clients.forEach((client) => client.answers.length = 0);
    const calls = [];
    const lookups = setInterval(
      () => clients.forEach((client) => calls.push(client.call("/lookup/1"))),
      LOOKUP_INTERVAL_MS,
    );
    const transfers = setInterval(
      () =>
        clients.forEach((client) =>
          calls.push(client.call("/transfer/1", { method: "POST" }))
        ),
      TRANSFER_INTERVAL_MS,
    );
    await sleep(TROUBLE_AT_MS);
    if (hasTrouble) {
      // All fields, but the address is none.
      const { status } = await send(node.control, {
        method: "POST",
        path: "/Instances.Heartbeat/i-00c0ffee",
        headers: { "Content-Type": "application/json" },
        body: JSON.stringify({
          addr: "127.0.0.300:8080",
          born: Date.now(),
          info: {
            service: node.service,
            version: "v1",
            zone: "kenitra-a",
            slots: 56,
          },
          status: { state: "ready", seq: 1, warmupLeftMs: 0 },
        }),
        timeoutMs: 1_000,
      });
      record.write(`heartbeat of another writer at ${node.name}: ${status}`);
    }
    await sleep(TRAFFIC_MS - TROUBLE_AT_MS);
    clearInterval(lookups);
    clearInterval(transfers);
    await Promise.all(calls);
    clients.forEach((client) => client.close());
    const { answers } = clients[2];
    const unanswered = answers.filter(({ status }) => status === 0);
    const lost = listLost(answers, pairs.map(({ upstream }) => upstream));
    const ends = node.ends.filter(({ isOwn }) => isOwn);
    record.write(
      `${node.name}: ${answers.length} requests, ${unanswered.length} without ` +
        `an answer, ${lost.length} of these had been passed on to a sound ` +
        `upstream; the process ended ${ends.length} times by itself`,
    );
    node.lines.filter((line) => !line.startsWith("{")).slice(-12)
      .forEach((line) => record.write(`stderr of ${node.name}: ${line}`));
    return lost.length > MAX_LOST
      ? `BROKEN: LOST, ${lost.length} connections closed without an answer`
      : undefined;
  },
);

/** A heartbeat of another writer, in which fields are missing. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  Client,
  configure,
  createRoute,
  createService,
  LIMITS,
  runCase,
  send,
  sleep,
  startPair,
  waitFor,
} from "../standins-2.mjs";

const STABLE_WINDOW_MS = 3_000;
const TROUBLE_AT_MS = 4_000;
const TRAFFIC_MS = 20_000;
const INTERVAL_MS = 100;

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
    pairs.forEach(({ upstream }) => upstream.runs.length = 0);
    const calls = [];
    const traffic = setInterval(() =>
      clients.forEach((client) => {
        calls.push(client.call("/lookup/1"));
        calls.push(client.call("/transfer/1", { method: "POST" }));
      }), INTERVAL_MS);
    await sleep(TROUBLE_AT_MS);
    const troubleMs = performance.now();
    const { node } = pairs[2];
    if (hasTrouble) {
      // No `born`, no `version` and no `warmupLeftMs`; nobody listens there.
      const { status } = await send(node.control, {
        method: "POST",
        path: "/Instances.Heartbeat/i-00c0ffee",
        headers: { "Content-Type": "application/json" },
        body: JSON.stringify({
          addr: `${node.ip}:9`,
          info: { service: "huvo11a", zone: "kenitra-a", slots: 8 },
          status: { state: "ready", seq: 1 },
        }),
        timeoutMs: 1_000,
      });
      record.write(`heartbeat of another writer at ${node.name}: ${status}`);
    }
    await sleep(TRAFFIC_MS - TROUBLE_AT_MS);
    clearInterval(traffic);
    await Promise.all(calls);
    clients.forEach((client) => client.close());
    const services = new Map(
      pairs.map(({ node }) => [`c-${node.name}`, node.service]),
    );
    const runs = pairs.flatMap(({ upstream }) => upstream.runs);
    const wrong = runs.filter(({ requestId, callerService }) =>
      callerService !== services.get(requestId.replace(/-\d+$/, ""))
    );
    const own = pairs[2].upstream.runs;
    const late = own.filter(({ atMs }) => atMs > troubleMs + 10_000);
    record.write(
      `${runs.length} runs, ${wrong.length} with a Caller-Service that isn't ` +
        `the service of the machine where the request began; the upstream ` +
        `beside ${node.name} ran ${own.length} requests, ${late.length} of ` +
        `them later than 10 s after the moment of the disruption`,
    );
    wrong.slice(0, 3).concat(wrong.slice(-1)).forEach((run) =>
      record.write(
        `${run.requestId} ran with Caller-Service ${run.callerService}`,
      )
    );
    return wrong.length > 0
      ? `BROKEN: UNASKED, ${wrong.length} runs with another Caller-Service`
      : undefined;
  },
);

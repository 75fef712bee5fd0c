/** Recordings of lost connections, processes, answers and control. */
import { request } from "undici";
import { findAddress } from "../../standin/ports.ts";
import { Relay } from "../../standin/relay.ts";
import { NodeFleet, readVersion, waitForRun } from "./node_fleet.ts";
import type { RecordedNode } from "./node_fleet.ts";
import type { Recording } from "./recording.ts";
import { waitUntil } from "./wait_until.ts";

/** Makes the backend server take 800 ms for a request. */
const SLOW = { "x-standin-ms": "800" };

/** Open connections to the next node stop transferring data; new ones work. */
export async function recordSilentConnection(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  await using relay = new Relay(await findAddress());
  await relay.open();
  await allowRefundsWithoutKey(fleet);
  const catalog = await fleet.startNode({
    id: "catalog-1",
    service: "catalog",
    advertise: relay.address,
  });
  relay.target = catalog.ingress;
  const entry = await fleet.startRecorded({ service: "tillside" });
  await entry.callers.callMany(3, "/prices/before");
  relay.breakOpen("silent");
  await entry.callers.callMany(3, "/prices/silent");
  relay.breakOpen("silent");
  await callRefund(entry, { "idempotency-key": "lost" });
  const headers = { ...SLOW, "idempotency-key": "unheard" };
  const pendingRefund = callRefund(entry, headers);
  await waitForRun(catalog, "unheard");
  relay.breakOpen("silent");
  await pendingRefund;
  return [await fleet.finishRecording(entry, "silent_connection")];
}

/** The backend server is killed while it runs requests, and restarted. */
export async function recordBackendKilled(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  await allowRefundsWithoutKey(fleet);
  const node = await fleet.startRecorded({ service: "catalog" });
  const { backendAddress: address, egress, callers } = node;
  await callers.call({ path: "/prices/before" });
  const lookup = callers.call({ path: "/prices/running", headers: SLOW });
  const refund = callRefund(node, SLOW);
  await waitForRun(node, "/prices/running");
  await waitForRun(node, "/refunds");
  await fleet.fleet.stop(node.backend, "SIGKILL");
  await Promise.all([lookup, refund]);
  await callers.call({ path: "/prices/down" });
  await fleet.fleet.startBackend({ id: "again", address, egress });
  await waitUntil("the backend server", async () => {
    const [answer] = await callers.call({ path: "/prices/after" });
    return answer === "200 ran";
  });
  return [await fleet.finishRecording(node, "backend_killed")];
}

/** A node is killed while it runs a request from another node. */
export async function recordNodeKilled(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  await allowRefundsWithoutKey(fleet);
  const catalog = await fleet.startRecorded({ service: "catalog" });
  const entry = await fleet.startRecorded({ service: "tillside" });
  await entry.callers.call({ path: "/prices/before" });
  const refund = callRefund(entry, SLOW);
  await waitForRun(catalog, "/refunds");
  await fleet.fleet.stop(catalog, "SIGKILL");
  await refund;
  await entry.callers.call({ path: "/prices/after" });
  const { file } = catalog;
  const observation = { role: "node", calls: [] } as const;
  return [
    await fleet.finishRecording(entry, "node_killed"),
    { name: "node_killed_itself", file, observation },
  ];
}

/**
 * A node drains while calls run and further ones arrive. The entry node is
 * disconnected from control, so it learns of the drain only from answers.
 */
export async function recordDrain(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  await using relay = await openRelay(fleet);
  const node = await fleet.startRecorded({ service: "catalog" });
  const replicas = [relay.address];
  const entry = await fleet.startRecorded({ service: "tillside", replicas });
  const callNode = (path: string) => node.callers.call({ path, headers: SLOW });
  const callEntry = (path: string) =>
    entry.callers.call({ path, headers: SLOW });
  await entry.callers.call({ path: "/prices/before" });
  const running = [
    ...["/prices/a", "/prices/b"].map(callNode),
    ...["/prices/c", "/prices/d"].map(callEntry),
  ];
  for (const path of ["a", "b", "c", "d"]) {
    await waitForRun(node, `/prices/${path}`);
  }
  await cutRelay(relay);
  await drainNode(node);
  running.push(...["/prices/e", "/prices/f"].map(callNode));
  running.push(...["/prices/g", "/prices/h"].map(callEntry));
  await Promise.all(running);
  return [
    await fleet.finishRecording(node, "drain_under_load"),
    await fleet.finishRecording(entry, "drain_seen_by_entry"),
  ];
}

/** Backend servers close the connection in the middle of an answer. */
export async function recordCutAnswers(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  const node = await fleet.startRecorded({ service: "catalog" });
  const entry = await fleet.startRecorded({ service: "tillside" });
  const headers = { "x-standin-cut": "1" };
  await entry.callers.call({ path: "/prices/before" });
  await entry.callers.call({ path: "/prices/cut-1", headers });
  await entry.callers.call({ path: "/prices/cut-2", headers });
  await entry.callers.call({ path: "/prices/after" });
  await node.callers.call({ path: "/prices/cut-3", headers });
  return [
    await fleet.finishRecording(entry, "cut_answers"),
    await fleet.finishRecording(node, "cut_answers_served"),
  ];
}

/**
 * A node loses its connection to control, continues to serve calls, and gets
 * the table edited meanwhile once it is connected again.
 */
export async function recordControlPartition(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  await using relay = await openRelay(fleet);
  const replicas = [relay.address];
  const node = await fleet.startRecorded({ service: "catalog", replicas });
  await node.callers.call({ path: "/prices/before" });
  await cutRelay(relay);
  await fleet.runCommand("table", "edit", "price-lookup", "key=required");
  await node.callers.callMany(3, "/prices/during");
  relay.target = fleet.control.link;
  await waitUntil("the new table", async () => await readVersion(node) === 2);
  await node.callers.call({ path: "/prices/after" });
  return [await fleet.finishRecording(node, "control_partition")];
}

/** A request crashes each backend server that runs it, and is resent. */
export async function recordCrashingRequest(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  const behaviour = { crashPath: "/prices/crash" };
  for (const id of ["catalog-1", "catalog-2", "catalog-3"]) {
    await fleet.startNode({ id, service: "catalog", behaviour });
  }
  const entry = await fleet.startRecorded({ service: "tillside" });
  await entry.callers.call({ path: "/prices/before" });
  for (let resend = 0; resend < 3; resend++) {
    await entry.callers.call({ path: "/prices/crash" });
  }
  await entry.callers.call({ path: "/prices/after" });
  return [await fleet.finishRecording(entry, "crashing_request")];
}

/** Opens a relay to the control replica. */
async function openRelay(fleet: NodeFleet): Promise<Relay> {
  const relay = new Relay(await findAddress());
  relay.target = fleet.control.link;
  await relay.open();
  return relay;
}

/** Stops data on open connections, and sends new ones to an unused address. */
async function cutRelay(relay: Relay): Promise<void> {
  relay.target = await findAddress();
  relay.breakOpen("silent");
}

/** Routes refunds to catalog, and runs them without a key, at most once each. */
async function allowRefundsWithoutKey(fleet: NodeFleet): Promise<void> {
  const cells = ["service=catalog", "key=none"];
  await fleet.runCommand("table", "edit", "refund", ...cells);
}

async function callRefund(
  node: RecordedNode,
  headers: Readonly<Record<string, string>>,
): Promise<void> {
  await node.callers.call({ method: "POST", path: "/refunds", headers });
}

async function drainNode(node: RecordedNode): Promise<void> {
  const answer = await request(`http://${node.operator}/drain`, {
    method: "POST",
  });
  await answer.body.dump();
}

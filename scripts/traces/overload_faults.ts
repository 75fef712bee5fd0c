/** Recordings of overload: stragglers, surges, resends, cold starts. */
import { setTimeout as sleep } from "node:timers/promises";
import { setBehaviour } from "../../standin/fleet.ts";
import { NodeFleet, waitForRun } from "./node_fleet.ts";
import type { Recording } from "./recording.ts";

const SURGE_CALLS = 40;
/** Time after its start in which the backend server is slow. */
const COLD_MS = 3_000;

/**
 * The backend server of a service two calls below the edge becomes a straggler,
 * which answers far more slowly than before, and recovers.
 */
export async function recordStraggler(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  const straggler = await fleet.startNode({
    id: "catalog-1",
    service: "catalog",
  });
  const node = await fleet.startRecorded({
    service: "storedesk",
    downstream: { "GET /stock": ["/prices/7"] },
  });
  await node.callers.callMany(3, "/stock/before");
  await setBehaviour(straggler.backendAddress, { serviceMs: 4_000 });
  await node.callers.callMany(6, "/stock/during");
  await setBehaviour(straggler.backendAddress, { serviceMs: 5 });
  await node.callers.callMany(3, "/stock/after");
  return [await fleet.finishRecording(node, "straggler")];
}

/** Far more concurrent calls arrive than slots and queue can hold. */
export async function recordSurge(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  await fleet.runCommand("table", "edit", "price-lookup", "queue=6");
  const node = await fleet.startRecorded({
    service: "catalog",
    slots: 2,
    behaviour: { serviceMs: 40 },
  });
  await node.callers.call({ path: "/prices/before" });
  await Promise.all(
    Array.from(
      { length: SURGE_CALLS },
      (_, i) => node.callers.call({ path: `/prices/surge-${i}` }),
    ),
  );
  await node.callers.call({ path: "/prices/after" });
  return [await fleet.finishRecording(node, "surge")];
}

/** Callers disconnect early and resend their calls several times. */
export async function recordResends(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  const node = await fleet.startRecorded({
    service: "catalog",
    slots: 2,
    behaviour: { serviceMs: 600 },
  });
  const callRepeatedly = async (path: string) => {
    for (let resend = 0; resend < 4; resend++) {
      await node.callers.call({ path, disconnectAfterMs: 150 });
    }
    await node.callers.call({ path });
  };
  await Promise.all(
    ["a", "b", "c", "d"].map((id) => callRepeatedly(`/prices/${id}`)),
  );
  return [await fleet.finishRecording(node, "resends")];
}

/** A refund is resent under its key after its caller disconnected. */
export async function recordResentRefund(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  const node = await fleet.startRecorded({ service: "tillside" });
  const path = "/refunds";
  const send = (key: string, ms: number, disconnectAfterMs?: number) =>
    node.callers.call({
      method: "POST",
      path,
      headers: { "idempotency-key": key, "x-standin-ms": String(ms) },
      ...(disconnectAfterMs === undefined ? {} : { disconnectAfterMs }),
    });
  let probes = 0;
  while ((await send(`probe-${probes++}`, 5))[0] !== "200 ran") {
    await sleep(200);
  }
  await send("refund-1", 400, 200);
  await waitForRun(node, "refund-1");
  await sleep(600);
  await send("refund-1", 400);
  await send("refund-1", 400);
  return [await fleet.finishRecording(node, "resent_refund")];
}

/** A backend server is slow after its start, and calls arrive immediately. */
export async function recordColdStart(
  fleet: NodeFleet,
): Promise<readonly Recording[]> {
  const node = await fleet.startRecorded({
    service: "catalog",
    slots: 4,
    behaviour: { serviceMs: 20, coldFactor: 20, coldMs: COLD_MS },
  });
  await node.callers.callMany(16, "/prices/cold");
  await sleep(COLD_MS);
  await node.callers.callMany(8, "/prices/warm");
  return [await fleet.finishRecording(node, "cold_start")];
}

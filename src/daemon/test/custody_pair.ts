/**
 * Two nodes: callers connect to one, the backend server of the other serves.
 */
import { expect } from "chai";
import { Fleet } from "../../../standin/fleet.ts";
import type { FleetNode } from "../../../standin/fleet.ts";

/**
 * A fleet with an entry node and the node of the backend server that serves.
 */
export interface CustodyPair {
  readonly fleet: Fleet;
  readonly entry: FleetNode;
  readonly served: FleetNode;
}

const TABLE = "examples/coton-loukkos/table.csv";
const DATA_CENTRE = "kenitra-a";

/** Starts both nodes and checks that a request is served. */
export async function openCustodyPair(): Promise<CustodyPair> {
  const fleet = new Fleet();
  await fleet.startControl("control-a", DATA_CENTRE);
  const entry = await fleet.startNode({
    id: "custody-1",
    service: "custody",
    dataCentre: DATA_CENTRE,
  });
  const served = await fleet.startNode({
    id: "provenance-1",
    service: "provenance",
    dataCentre: DATA_CENTRE,
  });
  const applied = await fleet.run("table", "apply", TABLE, "--wait");
  expect(applied.exitCode, applied.stderr).to.equal(0);
  const first = await fetch(`http://${entry.edge}/bales/1`);
  expect(first.status).to.equal(200);
  return { fleet, entry, served };
}

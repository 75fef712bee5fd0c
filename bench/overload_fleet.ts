/** Starts one deployment in each of the three modes that are compared. */
import { request } from "undici";
import type { Fleet, FleetControl } from "../standin/fleet.ts";
import { findAddress } from "../standin/ports.ts";
import {
  countSlots,
  findKind,
  listServices,
  SERVERS_PER_SERVICE,
} from "./workload.ts";
import type { Workload } from "./workload.ts";

/** No control, a plain limit with plain retries, and the product. */
export type Mode = "none" | "plain" | "basilpin";

/** The modes in the order of the report. */
export const MODES: readonly Mode[] = ["none", "plain", "basilpin"];

/** A deployment that runs. */
export interface Deployment {
  /** Addresses that callers may send a kind to. */
  readonly entries: Readonly<Record<string, readonly string[]>>;
  /** Addresses of the backend servers, by service. */
  readonly backends: Readonly<Record<string, readonly string[]>>;
  /** Operators' addresses of the nodes, by node id. */
  readonly operators: Readonly<Record<string, string>>;
}

type Downstream = Readonly<Record<string, readonly string[]>>;
type Addresses = Readonly<Record<string, readonly string[]>>;

const DATA_CENTRES = ["dc-a", "dc-b"];
const PROXY_QUEUE = 100;
const PROXY_RETRIES = 3;

/** Starts a deployment in `mode`. */
export async function startDeployment(
  fleet: Fleet,
  workload: Workload,
  mode: Mode,
): Promise<Deployment> {
  switch (mode) {
    case "none":
      return await startBare(fleet, workload);
    case "plain":
      return await startProxied(fleet, workload);
    case "basilpin":
      return await startNodes(fleet, workload);
  }
}

/** Lists the refusals of a node by kind, importance and reason. */
export async function readRefusals(
  operator: string,
): Promise<readonly string[]> {
  const { body } = await request(`http://${operator}/metrics`);
  const lines = (await body.text()).split("\n");
  return lines.filter((line) => line.startsWith("basilpin_refusals"));
}

async function startBare(
  fleet: Fleet,
  workload: Workload,
): Promise<Deployment> {
  const backends = await findAddresses(workload);
  const direct = mapPaths(workload, backends);
  await startBackends(fleet, workload, backends, () => ({
    egress: "",
    direct,
  }));
  return { backends, operators: {}, entries: mapKinds(workload, backends) };
}

async function startProxied(
  fleet: Fleet,
  workload: Workload,
): Promise<Deployment> {
  const backends = await findAddresses(workload);
  const ingresses = await findAddresses(workload);
  const listeners = await findAddresses(workload);
  await startBackends(fleet, workload, backends, (service, index) => ({
    egress: listeners[service]![index]!,
  }));
  const routes = JSON.stringify(mapPaths(workload, ingresses));
  for (const service of listServices(workload)) {
    for (const [index, backend] of backends[service]!.entries()) {
      await fleet.startProgram(`proxy-${service}-${index}`, [
        "standin/plain_proxy.js",
        "--listen",
        listeners[service]![index]!,
        "--ingress",
        ingresses[service]![index]!,
        "--backend",
        backend,
        "--limit",
        String(countSlots(workload, service)),
        "--queue",
        String(PROXY_QUEUE),
        "--retries",
        String(PROXY_RETRIES),
        "--routes",
        routes,
      ]);
    }
  }
  return { backends, operators: {}, entries: mapToAll(workload, listeners) };
}

async function startNodes(
  fleet: Fleet,
  workload: Workload,
): Promise<Deployment> {
  const control: FleetControl = await fleet.startControl("control-a", "dc-a");
  const edges: Record<string, string[]> = {};
  const backends: Record<string, string[]> = {};
  const operators: Record<string, string> = {};
  for (const service of listServices(workload)) {
    for (let index = 0; index < SERVERS_PER_SERVICE; index++) {
      const node = await fleet.startNode({
        id: `${service}-${index}`,
        service,
        dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
        slots: countSlots(workload, service),
        behaviour: { serviceMs: workload.serviceMs[service]! },
        downstream: createDownstream(workload),
      });
      (edges[service] ??= []).push(node.edge);
      (backends[service] ??= []).push(node.backendAddress);
      operators[node.id] = node.operator;
    }
  }
  const applied = await fleet.run("table", "apply", workload.table, "--wait");
  if (applied.exitCode !== 0) {
    throw new Error(`${control.id} refused the table: ${applied.stderr}`);
  }
  return { backends, operators, entries: mapToAll(workload, edges) };
}

async function startBackends(
  fleet: Fleet,
  workload: Workload,
  backends: Addresses,
  wire: (
    service: string,
    index: number,
  ) => { readonly egress: string; readonly direct?: Addresses },
): Promise<void> {
  for (const service of listServices(workload)) {
    for (const [index, address] of backends[service]!.entries()) {
      await fleet.startBackend({
        id: `${service}-${index}`,
        address,
        slots: countSlots(workload, service),
        behaviour: { serviceMs: workload.serviceMs[service]! },
        downstream: createDownstream(workload),
        ...wire(service, index),
      });
    }
  }
}

async function findAddresses(workload: Workload): Promise<Addresses> {
  const addresses: Record<string, string[]> = {};
  for (const service of listServices(workload)) {
    addresses[service] = [];
    for (let index = 0; index < SERVERS_PER_SERVICE; index++) {
      addresses[service].push(await findAddress());
    }
  }
  return addresses;
}

function createDownstream(workload: Workload): Downstream {
  return Object.fromEntries(
    workload.kinds.filter(({ calls }) => calls.length > 0).map((kind) => [
      `${kind.method} ${kind.path}`,
      kind.calls.map((name) => `${findKind(workload, name).path}7`),
    ]),
  );
}

/** Callers know the service's own addresses. */
function mapKinds(workload: Workload, addresses: Addresses): Addresses {
  return Object.fromEntries(
    workload.kinds.map(({ kind, service }) => [kind, addresses[service]!]),
  );
}

/** Callers send every kind to any of the addresses. */
function mapToAll(workload: Workload, addresses: Addresses): Addresses {
  const all = Object.values(addresses).flat();
  return Object.fromEntries(workload.kinds.map(({ kind }) => [kind, all]));
}

function mapPaths(workload: Workload, addresses: Addresses): Addresses {
  return Object.fromEntries(
    workload.kinds.map(({ path, service }) => [path, addresses[service]!]),
  );
}

/** Starts a deployment in one of the three compared modes. */
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

/**
 * `none` calls backend servers directly; `plain` uses proxies with a fixed limit
 * and simple retries; `basilpin` uses nodes.
 */
export type Mode = "none" | "plain" | "basilpin";

/** The modes in the order of the report. */
export const MODES: readonly Mode[] = ["none", "plain", "basilpin"];

/** Addresses of a running deployment. */
export interface Deployment {
  /** Addresses that accept root requests, by kind of request. */
  readonly entries: Readonly<Record<string, readonly string[]>>;
  /** Addresses of the backend servers, by service. */
  readonly backends: Readonly<Record<string, readonly string[]>>;
  /** Operator addresses of the nodes, by node id; empty without nodes. */
  readonly operators: Readonly<Record<string, string>>;
}

type Downstream = Readonly<Record<string, readonly string[]>>;
type Addresses = Readonly<Record<string, readonly string[]>>;

const DATA_CENTRES = ["dc-a", "dc-b"];
/** Most requests that a proxy queues. */
const PROXY_QUEUE = 100;
const PROXY_RETRIES = 3;

/** Starts all processes of a deployment in `mode`. */
export async function startDeployment(
  fleet: Fleet,
  workload: Workload,
  mode: Mode,
): Promise<Deployment> {
  switch (mode) {
    case "none":
      return await startWithoutControl(fleet, workload);
    case "plain":
      return await startWithProxies(fleet, workload);
    case "basilpin":
      return await startWithNodes(fleet, workload);
  }
}

/** Reads the refusal counters of a node, as lines of its metrics. */
export async function readRefusals(
  operator: string,
): Promise<readonly string[]> {
  const { body } = await request(`http://${operator}/metrics`);
  const lines = (await body.text()).split("\n");
  return lines.filter((line) => line.startsWith("basilpin_refusals"));
}

async function startWithoutControl(
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

async function startWithProxies(
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
  return {
    backends,
    operators: {},
    entries: mapKindsToAll(workload, listeners),
  };
}

async function startWithNodes(
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
  return { backends, operators, entries: mapKindsToAll(workload, edges) };
}

async function startBackends(
  fleet: Fleet,
  workload: Workload,
  backends: Addresses,
  createConnections: (
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
        ...createConnections(service, index),
      });
    }
  }
}

/** Finds a free address for each backend server of each service. */
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

/** Creates the calls that backend servers make, by method and path. */
function createDownstream(workload: Workload): Downstream {
  return Object.fromEntries(
    workload.kinds.filter(({ calls }) => calls.length > 0).map((kind) => [
      `${kind.method} ${kind.path}`,
      kind.calls.map((name) => `${findKind(workload, name).path}7`),
    ]),
  );
}

/** Maps each kind to the addresses of its service. */
function mapKinds(workload: Workload, addresses: Addresses): Addresses {
  return Object.fromEntries(
    workload.kinds.map(({ kind, service }) => [kind, addresses[service]!]),
  );
}

/** Maps each kind to the addresses of all services. */
function mapKindsToAll(workload: Workload, addresses: Addresses): Addresses {
  const all = Object.values(addresses).flat();
  return Object.fromEntries(workload.kinds.map(({ kind }) => [kind, all]));
}

/** Maps the path of each kind to the addresses of its service. */
function mapPaths(workload: Workload, addresses: Addresses): Addresses {
  return Object.fromEntries(
    workload.kinds.map(({ path, service }) => [path, addresses[service]!]),
  );
}

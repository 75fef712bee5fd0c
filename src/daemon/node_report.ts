/** Status, readiness and gauges of a node. */
import { readSteadyMs } from "../base/node/steady_clock.ts";
import { computeCapacity } from "../engine/admission/common/admission_capacity.ts";
import type { NodeState } from "../engine/call/common/node_state.ts";
import type { Metrics } from "../engine/telemetry/node/metrics.ts";
import type { OperatorAnswer } from "./operator_server.ts";

/** Reads the current state. */
export type ReadNodeState = () => NodeState;

interface NodeGauge {
  readonly name: string;
  readonly description: string;
  readonly read: (state: NodeState) => number;
}

const GAUGES: readonly NodeGauge[] = [
  {
    name: "idempotency_keys",
    description: "Keys whose records this node holds",
    read: ({ claims }) => claims.holder.records.count,
  },
  {
    name: "suspects",
    description: "Requests that ran when a backend server of the service died",
    read: ({ quarantine }) => quarantine.known.size,
  },
  {
    name: "table_version",
    description: "Version of the table in force",
    read: ({ table }) => table.version,
  },
  {
    name: "running",
    description: "Requests that the backend server runs",
    read: ({ admission }) => admission.running.size,
  },
  {
    name: "queued",
    description: "Requests that wait for the backend server",
    read: ({ admission }) => admission.queue.length,
  },
  {
    name: "admission_limit",
    description: "Requests that may run at a time",
    read: ({ admission }) => computeCapacity(admission, readSteadyMs()),
  },
  {
    name: "admission_level",
    description: "Admission level, 0 (none) to 10",
    read: ({ admission }) => admission.level.position,
  },
];

/** Registers the gauges of a node with its metrics. */
export function registerNodeGauges(
  metrics: Metrics,
  readState: ReadNodeState,
): void {
  for (const { name, description, read } of GAUGES) {
    metrics.addGauge(name, description, () => read(readState()));
  }
}

/** Reports the node as ready if it has a table and is not draining. */
export function answerReadiness({ table, self }: NodeState): OperatorAnswer {
  const isReady = table.version > 0 && !self.isDraining;
  return { status: isReady ? 200 : 503, body: { isReady } };
}

/**
 * Creates the body of `GET /status`; `replica` is the linked control replica.
 */
export function createNodeStatus(
  state: NodeState,
  replica: string | undefined,
) {
  return {
    role: "node",
    id: state.self.nodeId,
    service: state.self.service,
    dataCentre: state.self.dataCentre,
    tableVersion: state.table.version,
    isTableConfirmed: state.isTableConfirmed,
    isDraining: state.self.isDraining,
    controlReplica: replica ?? null,
    entryCalls: state.entries.size,
    running: state.admission.running.size,
    queued: state.admission.queue.length,
    loadHint: state.loadHint ?? null,
    holderEpoch: state.claims.holder.votingEpoch,
    keys: state.claims.holder.records.count,
  };
}

/** Registers the gauges of a control replica. */
import { readSteadyMs } from "../base/node/steady_clock.ts";
import type { ReplicaState } from "../engine/control/common/replica_reducer.ts";
import { isConfirmed } from "../engine/control/common/replication_state.ts";
import type { Metrics } from "../engine/telemetry/node/metrics.ts";

/** Registers gauges that read the state of the replica at each scrape. */
export function registerControlGauges(
  metrics: Metrics,
  readState: () => ReplicaState,
): void {
  metrics.addGauge(
    "table_version",
    "Version of the table",
    () => readState().replication.tableState.table.version,
  );
  metrics.addLabelledGauge("recorded_requests", {
    description: "Requests with evidence that they end backend servers",
    label: "service",
    read: () =>
      [...readState().replication.crashes].map(([service, record]) =>
        [service, record.size] as const
      ),
  });
  metrics.addGauge(
    "members",
    "Nodes whose lease runs",
    () => readState().control.membership.members.size,
  );
  metrics.addGauge(
    "table_confirmed",
    "Whether a quorum vouched for the table lately (1 or 0)",
    () => isConfirmed(readState().replication, readSteadyMs()) ? 1 : 0,
  );
  metrics.addGauge(
    "silent_replicas",
    "Other control replicas that are not heard",
    () =>
      [...readState().replication.peers.values()]
        .filter((peer) => peer.isSilent).length,
  );
  metrics.addLabelledGauge("replica_silent", {
    description: "Whether another control replica is not heard (1 or 0)",
    label: "replica",
    read: () =>
      [...readState().replication.peers]
        .map(([id, peer]) => [id, peer.isSilent ? 1 : 0]),
  });
  metrics.addGauge(
    "consensus_term",
    "Term of the replicated log",
    () => readState().replication.consensus.term,
  );
  metrics.addGauge(
    "commit_index",
    "Index up to which the replicated log is committed",
    () => readState().replication.consensus.commitIndex,
  );
  metrics.addGauge(
    "routes_version",
    "Version of the routes",
    () => readState().replication.tableState.document.table.version,
  );
}

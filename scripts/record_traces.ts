/**
 * Records the traces in `traces/` again: injects each fault into a small fleet,
 * checks that a replay yields the answers that the callers received, and
 * appends the expected outcome. Arguments: names of faults; default is all.
 */
import { mkdirSync } from "node:fs";
import process from "node:process";
import { Fleet } from "../standin/fleet.ts";
import { writeLine } from "../src/cli/output.ts";
import {
  recordRacingEdits,
  recordResentEdit,
  recordRestart,
} from "./traces/control_faults.ts";
import {
  recordBackendKilled,
  recordControlPartition,
  recordCrashingRequest,
  recordCutAnswers,
  recordDrain,
  recordNodeKilled,
  recordSilentConnection,
} from "./traces/loss_faults.ts";
import { NodeFleet } from "./traces/node_fleet.ts";
import {
  recordColdStart,
  recordResends,
  recordResentRefund,
  recordStraggler,
  recordSurge,
} from "./traces/overload_faults.ts";
import { TRACE_FOLDER, writeRecording } from "./traces/recording.ts";
import type { Recording } from "./traces/recording.ts";

type RecordInNodeFleet = (fleet: NodeFleet) => Promise<readonly Recording[]>;
type RecordInFleet = (fleet: Fleet) => Promise<readonly Recording[]>;

/** Faults recorded at nodes, by name. */
const NODE_FAULTS: Readonly<Record<string, RecordInNodeFleet>> = {
  straggler: recordStraggler,
  surge: recordSurge,
  resends: recordResends,
  resent_refund: recordResentRefund,
  cold_start: recordColdStart,
  silent_connection: recordSilentConnection,
  backend_killed: recordBackendKilled,
  node_killed: recordNodeKilled,
  drain: recordDrain,
  cut_answers: recordCutAnswers,
  control_partition: recordControlPartition,
  crashing_request: recordCrashingRequest,
};

/** Faults recorded at control replicas, by name. */
const CONTROL_FAULTS: Readonly<Record<string, RecordInFleet>> = {
  racing_edits: recordRacingEdits,
  resent_edit: recordResentEdit,
  restart: recordRestart,
};

/** Records one fault in a separate fleet; returns the failures. */
async function recordFault(name: string): Promise<readonly string[]> {
  const recordAtNodes = NODE_FAULTS[name];
  if (recordAtNodes !== undefined) {
    await using nodes = new NodeFleet();
    await nodes.open();
    return writeAll(await recordAtNodes(nodes));
  }
  const recordAtControls = CONTROL_FAULTS[name];
  if (recordAtControls === undefined) {
    return [`Unknown fault: ${name}`];
  }
  await using fleet = new Fleet();
  return writeAll(await recordAtControls(fleet));
}

function writeAll(recordings: readonly Recording[]): readonly string[] {
  return recordings.flatMap((recording) =>
    writeRecording(recording).match(
      (lines) => {
        writeLine(
          `${recording.name}: ${lines} lines, replay matches what was observed`,
        );
        return [];
      },
      (reason) => [`${recording.name}: ${reason}`],
    )
  );
}

const faultNames = [
  ...Object.keys(NODE_FAULTS),
  ...Object.keys(CONTROL_FAULTS),
];
const requested = process.argv.slice(2);
mkdirSync(TRACE_FOLDER, { recursive: true });
for (const name of requested.length === 0 ? faultNames : requested) {
  const failures = await recordFault(name)
    .catch((error: Error) => [`${name}: ${error.message}`]);
  if (failures.length > 0) {
    process.exitCode = 1;
    writeLine(failures.join("\n"));
  }
}

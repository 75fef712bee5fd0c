/**
 * Records the traces in `traces/` anew: brings about each fault in a small
 * fleet, checks that a replay gives what the callers saw, and states it.
 * Takes names of faults; all without any.
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

const CONTROL_FAULTS: Readonly<Record<string, RecordInFleet>> = {
  racing_edits: recordRacingEdits,
  resent_edit: recordResentEdit,
  restart: recordRestart,
};

/** Records one fault in a fleet of its own; returns what went wrong. */
async function recordFault(name: string): Promise<readonly string[]> {
  const recordNode = NODE_FAULTS[name];
  if (recordNode !== undefined) {
    await using nodes = new NodeFleet();
    await nodes.open();
    return writeAll(await recordNode(nodes));
  }
  const recordControl = CONTROL_FAULTS[name];
  if (recordControl === undefined) {
    return [`No fault ${name}`];
  }
  await using fleet = new Fleet();
  return writeAll(await recordControl(fleet));
}

function writeAll(recordings: readonly Recording[]): readonly string[] {
  return recordings.flatMap((recording) =>
    writeRecording(recording).match(
      (lines) => {
        writeLine(`${recording.name}: ${lines} lines, as the callers saw it`);
        return [];
      },
      (reason) => [`${recording.name}: ${reason}`],
    )
  );
}

const all = [...Object.keys(NODE_FAULTS), ...Object.keys(CONTROL_FAULTS)];
const asked = process.argv.slice(2);
mkdirSync(TRACE_FOLDER, { recursive: true });
for (const name of asked.length === 0 ? all : asked) {
  const failures = await recordFault(name)
    .catch((error: Error) => [`${name}: ${error.message}`]);
  if (failures.length > 0) {
    process.exitCode = 1;
    writeLine(failures.join("\n"));
  }
}

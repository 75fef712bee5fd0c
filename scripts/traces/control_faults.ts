/** Recordings of control replicas: racing and resent edits, restarts. */
import { connect } from "node:net";
import { request } from "undici";
import type { StatusAnswer } from "../../src/cli/commands/status.ts";
import { parseAddress } from "../../src/base/node/listen.ts";
import type {
  ControlOutcome,
  TracedEdit,
} from "../../src/engine/trace/common/trace_format.ts";
import type { EditOutcome } from "../../src/engine/table/common/table_reducer.ts";
import { Fleet, waitReady } from "../../standin/fleet.ts";
import type { FleetControl } from "../../standin/fleet.ts";
import type { Recording } from "./recording.ts";
import { waitUntil } from "./wait_until.ts";

const REPLICAS = [
  ["control-a", "hall-a"],
  ["control-b", "hall-b"],
  ["control-c", "hall-c"],
] as const;
const EDITS_BEFORE_RESTART = 220;
const CELLS = {
  kind: "lookup",
  service: "catalog",
  method: "GET",
  path: "/**",
  weight: "1",
  importance: "5",
  concurrency: "10",
  rate: "100",
  timeout_ms: "1000",
  retries: "1",
  idempotent: "yes",
  key: "none",
  max_body_bytes: "0",
};

interface Edit {
  readonly editId: string;
  /** Table version that the edit is based on. */
  readonly baseVersion: number;
  /** New value of the cell `queue`. */
  readonly queue: number;
}

/** Two operators edit one row at two replicas, based on the same version. */
export async function recordRacingEdits(
  fleet: Fleet,
): Promise<readonly Recording[]> {
  const [first, second] = await startRecorded(fleet, 1);
  const edits = await Promise.all([
    sendEdit(first!, { editId: "race-amal", baseVersion: 1, queue: 50 }),
    sendEdit(second!, { editId: "race-badr", baseVersion: 1, queue: 60 }),
  ]);
  const accepted = edits.filter(({ outcome }) => outcome === "EditAccepted");
  if (accepted.length !== 1) {
    throw new Error(`${accepted.length} of two racing edits were accepted`);
  }
  const reads = [await readTable(first!), await readTable(second!)];
  return await Promise.all(
    [first!, second!].map((control, i) =>
      finishRecording(fleet, control, {
        name: `racing_edits_${"ab"[i]}`,
        outcome: { edits: [edits[i]!], reads: [reads[i]!], tableVersion: 2 },
      })
    ),
  );
}

/**
 * The answer to an edit at a follower is lost. Resent to the leader under the
 * same edit id, even with other content, the edit gets the original answer.
 */
export async function recordResentEdit(
  fleet: Fleet,
): Promise<readonly Recording[]> {
  const controls = await startRecorded(fleet, 1);
  const leader = await findLeader(controls);
  const follower = controls.find((control) => control !== leader)!;
  const edit = { editId: "lost-answer", baseVersion: 1, queue: 70 };
  await sendAndDisconnect(follower, edit);
  await waitForVersion(leader, 2);
  await waitForVersion(follower, 2);
  const edits = [
    await sendEdit(leader, edit),
    await sendEdit(leader, { ...edit, queue: 71 }),
  ];
  const reads = [await readTable(leader)];
  const { editId } = edit;
  const accepted = { editId, outcome: "EditAccepted", version: 2 } as const;
  return [
    await finishRecording(fleet, follower, {
      name: "resent_edit_unheard",
      outcome: { edits: [accepted], reads: [], tableVersion: 2 },
    }),
    await finishRecording(fleet, leader, {
      name: "resent_edit",
      outcome: { edits, reads, tableVersion: 2 },
    }),
  ];
}

/** A replica is killed after many edits and recovers all of them. */
export async function recordRestart(
  fleet: Fleet,
): Promise<readonly Recording[]> {
  const [control] = await startRecorded(fleet, EDITS_BEFORE_RESTART, 1);
  const reads = [await readTable(control!)];
  const edits = [
    await sendEdit(control!, createEdit(7)),
    await sendEdit(control!, createEdit(EDITS_BEFORE_RESTART + 1)),
    await sendEdit(control!, { editId: "stale", baseVersion: 3, queue: 1 }),
  ];
  reads.push(await readTable(control!));
  const tableVersion = EDITS_BEFORE_RESTART + 1;
  return [
    await finishRecording(fleet, control!, {
      name: "restart_after_edits",
      outcome: { edits, reads, tableVersion },
    }),
  ];
}

/** Starts replicas, makes edits, kills all and restarts them with recording. */
async function startRecorded(
  fleet: Fleet,
  editCount: number,
  replicaCount: number = REPLICAS.length,
): Promise<readonly FleetControl[]> {
  const controls = await fleet.startControls(REPLICAS.slice(0, replicaCount));
  for (let version = 1; version <= editCount; version++) {
    await sendEdit(controls[0]!, createEdit(version));
  }
  await Promise.all(
    controls.map((control) => waitForVersion(control, editCount)),
  );
  for (const control of controls) {
    await fleet.stop(control, "SIGKILL");
    fleet.recordControl(control);
  }
  const started = await Promise.all(
    controls.map((control) => fleet.restartControl(control)),
  );
  await Promise.all(started.map(({ operator }) => waitReady(operator)));
  return started;
}

function createEdit(version: number): Edit {
  const editId = `edit-${version}`;
  return { editId, baseVersion: version - 1, queue: version };
}

function createBody({ editId, baseVersion, queue }: Edit): string {
  const cells = {
    ...CELLS,
    queue: String(queue),
    version: String(baseVersion),
  };
  return JSON.stringify({ editId, change: { type: "PutRow", cells } });
}

async function sendEdit(
  control: FleetControl,
  edit: Edit,
): Promise<TracedEdit> {
  const answer = await request(`http://${control.operator}/table/edits`, {
    method: "POST",
    body: createBody(edit),
  });
  const outcome = await answer.body.json() as EditOutcome;
  if (answer.statusCode !== 200 && answer.statusCode !== 409) {
    throw new Error(
      `Edit answered with status ${answer.statusCode}: ${
        JSON.stringify(outcome)
      }`,
    );
  }
  const version = outcome.type === "EditConflicted" ? 0 : outcome.version;
  return { editId: edit.editId, outcome: outcome.type, version };
}

/** Sends an edit and closes the connection without reading the answer. */
async function sendAndDisconnect(
  control: FleetControl,
  edit: Edit,
): Promise<void> {
  const { host, port } = parseAddress(control.operator)!;
  const body = createBody(edit);
  const head = `POST /table/edits HTTP/1.1\r\nhost: ${control.operator}\r\n` +
    `content-length: ${body.length}\r\n\r\n`;
  const socket = connect(port, host);
  await new Promise<void>((resolve) => {
    socket.write(head + body, () => resolve());
  });
  socket.end();
  socket.destroy();
}

async function readTable(control: FleetControl): Promise<number> {
  const answer = await request(`http://${control.operator}/table`);
  const table = await answer.body.json() as { readonly version?: number };
  return answer.statusCode === 200 ? table.version! : 0;
}

async function findLeader(
  controls: readonly FleetControl[],
): Promise<FleetControl> {
  let leader: FleetControl | undefined;
  await waitUntil("a leader", async () => {
    const { cluster } = await readStatus(controls[0]!);
    leader = controls.find(({ id }) => id === cluster.leader);
    return leader !== undefined;
  });
  return leader!;
}

async function waitForVersion(
  control: FleetControl,
  version: number,
): Promise<void> {
  await waitUntil(`version ${version} at ${control.id}`, async () => {
    const { tableVersion } = await readStatus(control);
    return tableVersion === version;
  });
}

async function readStatus(control: FleetControl): Promise<StatusAnswer> {
  const answer = await request(`http://${control.operator}/status`);
  return await answer.body.json() as StatusAnswer;
}

async function finishRecording(
  fleet: Fleet,
  control: FleetControl,
  expected: { readonly name: string; readonly outcome: ControlOutcome },
): Promise<Recording> {
  const { name, outcome } = expected;
  await fleet.stop(control);
  const file = fleet.findTrace(control.id);
  return { name, file, observation: { role: "control", outcome } };
}

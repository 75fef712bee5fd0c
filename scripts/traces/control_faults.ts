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
const EARLIER_EDITS = 220;
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
  /** Version that the operator saw. */
  readonly from: number;
  readonly queue: number;
}

/** Two operators edit one row from the same version, at two replicas. */
export async function recordRacingEdits(
  fleet: Fleet,
): Promise<readonly Recording[]> {
  const [first, second] = await startRecorded(fleet, 1);
  const edits = await Promise.all([
    sendEdit(first!, { editId: "race-amal", from: 1, queue: 50 }),
    sendEdit(second!, { editId: "race-badr", from: 1, queue: 60 }),
  ]);
  const won = edits.filter(({ outcome }) => outcome === "EditAccepted");
  if (won.length !== 1) {
    throw new Error(`${won.length} of two racing edits were accepted`);
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
 * The answer to an edit made at a follower is lost; sent again to the leader,
 * the edit gets its first answer.
 */
export async function recordResentEdit(
  fleet: Fleet,
): Promise<readonly Recording[]> {
  const controls = await startRecorded(fleet, 1);
  const leader = await findLeader(controls);
  const follower = controls.find((control) => control !== leader)!;
  const edit = { editId: "lost-answer", from: 1, queue: 70 };
  await sendUnheard(follower, edit);
  await waitVersion(leader, 2);
  await waitVersion(follower, 2);
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

/** A replica is killed after hundreds of edits and comes back with all. */
export async function recordRestart(
  fleet: Fleet,
): Promise<readonly Recording[]> {
  const [control] = await startRecorded(fleet, EARLIER_EDITS, 1);
  const reads = [await readTable(control!)];
  const edits = [
    await sendEdit(control!, createEdit(7)),
    await sendEdit(control!, createEdit(EARLIER_EDITS + 1)),
    await sendEdit(control!, { editId: "stale", from: 3, queue: 1 }),
  ];
  reads.push(await readTable(control!));
  const tableVersion = EARLIER_EDITS + 1;
  return [
    await finishRecording(fleet, control!, {
      name: "restart_after_edits",
      outcome: { edits, reads, tableVersion },
    }),
  ];
}

/** Starts replicas, makes edits, kills all and starts them recording. */
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
    controls.map((control) => waitVersion(control, editCount)),
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
  return { editId, from: version - 1, queue: version };
}

function createBody({ editId, from, queue }: Edit): string {
  const cells = { ...CELLS, queue: String(queue), version: String(from) };
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
      `Edit got ${answer.statusCode}: ${JSON.stringify(outcome)}`,
    );
  }
  const version = outcome.type === "EditConflicted" ? 0 : outcome.version;
  return { editId: edit.editId, outcome: outcome.type, version };
}

/** Sends an edit and breaks the connection before an answer can come. */
async function sendUnheard(control: FleetControl, edit: Edit): Promise<void> {
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

async function waitVersion(
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

/** Faults of three control replicas: kills, freezes, lost and damaged data. */
import { readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import type { ClusterReport } from "../../engine/control/common/cluster_report.ts";
import { CONFIRMATION_TTL_MS } from "../../engine/control/common/replication_state.ts";
import type { EditOutcome } from "../../engine/table/common/table_reducer.ts";
import { Fleet, waitReady } from "../../../standin/fleet.ts";
import type { FleetControl } from "../../../standin/fleet.ts";

const WAIT_LIMIT_MS = 25_000;
const POLL_INTERVAL_MS = 50;
/** A freeze after which no confirmation from before it is valid. */
const FREEZE_MS = CONFIRMATION_TTL_MS + 500;
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

interface Answer {
  readonly status: number;
  readonly body: EditOutcome & { readonly message?: string };
}

interface Status {
  readonly tableVersion: number;
  readonly isTableConfirmed: boolean;
  readonly cluster: ClusterReport;
}

/** Sends an edit that sets one cell to one replica. */
async function sendEdit(
  control: FleetControl,
  edit: { readonly editId: string; readonly from: number; readonly to: number },
): Promise<Answer> {
  const { editId, from, to } = edit;
  const cells = { ...CELLS, queue: String(to), version: String(from) };
  const answer = await request(`http://${control.operator}/table/edits`, {
    method: "POST",
    body: JSON.stringify({ editId, change: { type: "PutRow", cells } }),
  });
  return {
    status: answer.statusCode,
    body: await answer.body.json() as Answer["body"],
  };
}

/** Resends an edit with the same id to each replica until one accepts it. */
async function resendUntilAccepted(
  controls: readonly FleetControl[],
  version: number,
): Promise<void> {
  const edit = { editId: `edit-${version}`, from: version - 1, to: version };
  const endMs = Date.now() + WAIT_LIMIT_MS;
  while (Date.now() < endMs) {
    for (const control of controls) {
      const answer = await sendEdit(control, edit).catch(() => undefined);
      if (answer?.status === 200) {
        expect(answer.body).to.deep.equal({ type: "EditAccepted", version });
        return;
      }
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`Edit ${version} was not accepted in time`);
}

async function readStatus(control: FleetControl): Promise<Status> {
  const answer = await request(`http://${control.operator}/status`);
  return await answer.body.json() as Status;
}

async function waitStatus(
  control: FleetControl,
  isMet: (status: Status) => boolean,
): Promise<Status> {
  const endMs = Date.now() + WAIT_LIMIT_MS;
  let status = await readStatus(control);
  while (!isMet(status) && Date.now() < endMs) {
    await sleep(POLL_INTERVAL_MS);
    status = await readStatus(control);
  }
  expect(isMet(status), JSON.stringify(status.cluster)).to.equal(true);
  return status;
}

describe("control replicas", function () {
  this.timeout(120_000);
  let fleet: Fleet;
  let controls: readonly FleetControl[];

  beforeEach(async () => {
    fleet = new Fleet();
    controls = await fleet.startControls([
      ["control-a", "hall-a"],
      ["control-b", "hall-b"],
      ["control-c", "hall-c"],
    ]);
  });

  afterEach(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  async function findLeader(): Promise<FleetControl> {
    const isKnown = ({ cluster }: Status) => cluster.leader !== null;
    const { cluster } = await waitStatus(controls[0]!, isKnown);
    return controls.find((control) => control.id === cluster.leader)!;
  }

  it("keep each accepted edit when the leader is killed", async () => {
    for (let version = 1; version <= 10; version++) {
      await resendUntilAccepted(controls, version);
    }
    const leader = await findLeader();
    const others = controls.filter((control) => control !== leader);
    const racing = resendUntilAccepted(others, 11);
    await fleet.stop(leader, "SIGKILL");
    await racing;
    await resendUntilAccepted(others, 12);
    for (const version of [3, 11]) {
      await resendUntilAccepted(others, version);
    }
    const left = await waitStatus(others[0]!, (s) => s.tableVersion === 12);
    expect(left.cluster.leader).not.to.equal(leader.id);
    await waitStatus(
      others[0]!,
      ({ cluster }) =>
        cluster.members.some((m) => m.id === leader.id && m.isSilent),
    );
  });

  it("come back with the table when all are killed after 300 edits", async () => {
    for (let version = 1; version <= 300; version++) {
      await resendUntilAccepted(controls, version);
    }
    await Promise.all(controls.map((c) => fleet.stop(c, "SIGKILL")));
    await Promise.all(controls.map((c) => fleet.restartControl(c)));
    await Promise.all(controls.map((c) => waitReady(c.operator)));
    for (const control of controls) {
      expect((await readStatus(control)).tableVersion).to.equal(300);
    }
    await resendUntilAccepted(controls, 7);
    await resendUntilAccepted(controls, 301);
  });

  it("accept exactly one of two edits made from one version", async () => {
    await resendUntilAccepted(controls, 1);
    const answers = await Promise.all(
      controls.slice(0, 2).map((control, at) =>
        sendEdit(control, { editId: control.id, from: 1, to: 50 + at })
      ),
    );
    expect(answers.map(({ status }) => status).toSorted())
      .to.deep.equal([200, 409]);
  });

  it("are not misled by a leader that was frozen and wakes up", async () => {
    await resendUntilAccepted(controls, 1);
    const leader = await findLeader();
    const others = controls.filter((control) => control !== leader);
    leader.child.kill("SIGSTOP");
    const expiry = sleep(FREEZE_MS);
    await resendUntilAccepted(others, 2);
    await waitStatus(
      others[0]!,
      ({ cluster }) => findMember({ cluster }, leader.id).isSilent,
    );
    await expiry;
    leader.child.kill("SIGCONT");
    const resumed = await readStatus(leader);
    expect(resumed.isTableConfirmed && resumed.tableVersion < 2).to.equal(
      false,
    );
    const table = await request(`http://${leader.operator}/table`);
    const { version } = await table.body.json() as { version: number };
    expect([table.statusCode, version]).to.deep.equal([200, 2]);
    await waitStatus(leader, (status) => status.isTableConfirmed);
  });

  it("repair a wiped replica, and then lose another", async () => {
    for (let version = 1; version <= 20; version++) {
      await resendUntilAccepted(controls, version);
    }
    const leader = await findLeader();
    const wiped = controls.find((control) => control !== leader)!;
    const third = controls.find((c) => c !== leader && c !== wiped)!;
    const before = findMember(await readStatus(leader), wiped.id).replicaId;
    await fleet.stop(wiped, "SIGKILL");
    rmSync(join(fleet.folder, wiped.id), { recursive: true });
    await resendUntilAccepted([leader], 21);
    await fleet.restartControl(wiped);
    await waitStatus(wiped, (status) => {
      const { role, replicaId } = findMember(status, wiped.id);
      return role === "follower" && replicaId !== before;
    });
    await fleet.stop(leader, "SIGKILL");
    await resendUntilAccepted([wiped, third], 22);
    await waitStatus(wiped, (status) => status.tableVersion === 22);
  });

  it("refuse rather than forget when two are lost", async () => {
    await resendUntilAccepted(controls, 1);
    const [first, second, third] = controls as [
      FleetControl,
      FleetControl,
      FleetControl,
    ];
    await waitStatus(third, (status) => status.tableVersion === 1);
    await fleet.stop(first, "SIGKILL");
    rmSync(join(fleet.folder, first.id), { recursive: true });
    await fleet.stop(second, "SIGKILL");
    await fleet.restartControl(first);
    await Promise.all([first, third].map(async (control) => {
      const edit = { editId: "lost", from: 0, to: 9 };
      const [answer, table] = await Promise.all([
        sendEdit(control, edit),
        request(`http://${control.operator}/table`),
      ]);
      await table.body.dump();
      expect(answer.status).to.equal(503);
      expect(answer.body.message).to.match(/No quorum/);
      expect(table.statusCode).to.equal(503);
    }));
    expect((await readStatus(third)).tableVersion).to.equal(1);
  });

  it("stop with a clear message on a damaged disk", async () => {
    await resendUntilAccepted(controls, 1);
    await resendUntilAccepted(controls, 2);
    const [first] = controls as [FleetControl];
    await fleet.stop(first, "SIGKILL");
    const folder = join(fleet.folder, first.id);
    const name = readdirSync(folder).find((file) => file.startsWith("log-"))!;
    const bytes = readFileSync(join(folder, name));
    bytes[bytes.length >> 1]! ^= 1;
    writeFileSync(join(folder, name), bytes);
    const message = await fleet.restartControl(first)
      .then(() => "started", (error: Error) => error.message);
    expect(message).to.match(/ended with 1: .*is damaged at byte \d+/);
  });
});

function findMember({ cluster }: Pick<Status, "cluster">, id: string) {
  return cluster.members.find((member) => member.id === id)!;
}

/** Silence of a control replica, and its end, is shown by all reports. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import type { TimelineRecord } from "../../engine/telemetry/common/timeline_event.ts";
import { Fleet } from "../../../standin/fleet.ts";
import type { FleetControl } from "../../../standin/fleet.ts";

const WAIT_LIMIT_MS = 30_000;
const POLL_INTERVAL_MS = 100;

describe("a silent control replica", function () {
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

  async function readText(address: string, path: string): Promise<string> {
    const answer = await request(`http://${address}${path}`);
    return await answer.body.text();
  }

  /** Polls until the text read matches the pattern. */
  async function waitForMatch(
    what: string,
    read: () => Promise<string>,
    pattern: RegExp,
  ): Promise<void> {
    const endMs = Date.now() + WAIT_LIMIT_MS;
    let text = await read();
    while (!pattern.test(text) && Date.now() < endMs) {
      await sleep(POLL_INTERVAL_MS);
      text = await read();
    }
    expect(text, what).to.match(pattern);
  }

  /** Waits until status, metrics and timeline all report the expected state. */
  async function waitReported(
    silent: FleetControl,
    expected: { readonly isSilent: boolean; readonly by: FleetControl },
  ): Promise<void> {
    const { isSilent, by } = expected;
    const { id } = silent;
    const label = isSilent ? "SILENT" : "heard";
    await waitForMatch(
      "status",
      async () => (await fleet.run("status")).stdout,
      new RegExp(`^${id} .* ${label}$`, "m"),
    );
    const readMetrics = () => readText(by.operator, "/metrics");
    const value = isSilent ? 1 : 0;
    for (
      const line of [
        `basilpin_silent_replicas\\{[^}]*\\} ${value}`,
        `basilpin_replica_silent\\{[^}]*replica="${id}"[^}]*\\} ${value}`,
      ]
    ) {
      await waitForMatch("metrics", readMetrics, new RegExp(`^${line}$`, "m"));
    }
    const type = isSilent ? "ReplicaSilent" : "ReplicaHeard";
    await waitForMatch(
      "time line",
      async () => (await fleet.run("timeline")).stdout,
      new RegExp(` ${by.id} +${type} +replica=${id}$`, "m"),
    );
  }

  for (const role of ["follower", "leader"]) {
    it(`that was the ${role} is named until it is heard again`, async () => {
      const isLeader = async (control: FleetControl) => {
        const status = await readText(control.operator, "/status");
        const { cluster } = JSON.parse(status) as {
          readonly cluster: { readonly leader: string | null };
        };
        return cluster.leader === control.id;
      };
      // Commands query the first replicas first: stop the last of the role.
      const leads = await Promise.all(controls.map(isLeader));
      const wanted = role === "leader";
      const silent = controls.findLast((_, i) => leads[i] === wanted)!;
      const by = controls.find((control) => control !== silent)!;
      silent.child.kill("SIGSTOP");
      await waitReported(silent, { isSilent: true, by });
      silent.child.kill("SIGCONT");
      await waitReported(silent, { isSilent: false, by });
      const { stdout } = await fleet.run("timeline", "--json");
      const eventTypes = (JSON.parse(stdout) as readonly TimelineRecord[])
        .flatMap(({ process, event }) =>
          process === by.id && "replica" in event &&
            event.replica === silent.id && event.type !== "ReplicaJoined"
            ? [event.type]
            : []
        );
      const at = eventTypes.indexOf("ReplicaSilent");
      expect(eventTypes.slice(at)).to.deep.equal([
        "ReplicaSilent",
        "ReplicaHeard",
      ]);
    });
  }
});

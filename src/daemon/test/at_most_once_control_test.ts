/** At-most-once execution while control replicas are killed and restarted. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { waitReady } from "../../../standin/fleet.ts";
import type { FleetControl } from "../../../standin/fleet.ts";
import type { HolderReport } from "../../engine/control/common/holders.ts";
import { DATA_CENTRES, KeyedService, waitFor } from "./keyed_service.ts";

const TEST_TIMEOUT_MS = 120_000;
const KEY_COUNT = 10;
const RUN_DURATION_MS = "400";
const RESEND_INTERVAL_MS = 50;

describe("at most once over control replicas", function () {
  this.timeout(TEST_TIMEOUT_MS);
  let service: KeyedService;
  let resends = 0;

  before(async () => {
    service = new KeyedService();
    await service.open();
  });

  after(async () => {
    await service[Symbol.asyncDispose]();
  });

  /**
   * Resends a key to each node until it answers 200; all answers must be equal.
   */
  async function resendUntilAnswered(
    key: string,
  ): Promise<Record<string, unknown>> {
    const bodies: Record<string, unknown>[] = [];
    for (const node of service.nodes) {
      await waitFor(async () => {
        const headers = {
          "x-standin-ms": RUN_DURATION_MS,
          // Each resend has another caller, so that no resend budget applies.
          "x-caller-id": `caller-${resends++}`,
        };
        const answer = await service.transfer(node, key, headers);
        expect([200, 409, 503], key).to.include(answer.status);
        bodies.push(...(answer.status === 200 ? [answer.body] : []));
        await sleep(RESEND_INTERVAL_MS);
        return answer.status === 200;
      });
    }
    expect(new Set(bodies.map((body) => JSON.stringify(body))).size, key)
      .to.equal(1);
    expect(await service.countRuns(key), key).to.equal(1);
    return bodies[0]!;
  }

  function createKeys(name: string): readonly string[] {
    return Array.from({ length: KEY_COUNT }, (_, i) => `${name}-${i}`);
  }

  async function readHolders(): Promise<HolderReport> {
    return (await service.readStatus()).holders[0]!;
  }

  /** Kills a holder, starts a node in its place and returns the new epoch. */
  async function replaceHolder(id: string, key: string): Promise<number> {
    const { members } = await readHolders();
    const node = service.nodes.find((one) => one.id === members[0])!;
    await service.removeNode(node, key);
    await service.fleet.stop(node, "SIGKILL");
    const dataCentre =
      DATA_CENTRES.find((_, i) => node.id.endsWith(String(i))) ??
        DATA_CENTRES[0]!;
    await service.startNode(id, dataCentre);
    return (await readHolders()).epoch;
  }

  /**
   * Waits for a running leader: at first the others still name a killed one.
   */
  async function findLeader(): Promise<FleetControl> {
    let found: FleetControl | undefined;
    await waitFor(async () => {
      const { leader } = (await service.readStatus()).cluster;
      found = service.controls.find(({ id }) => id === leader);
      return found !== undefined;
    });
    return found!;
  }

  async function restart(stopped: readonly FleetControl[]): Promise<void> {
    const started = await Promise.all(
      stopped.map((control) => service.fleet.restartControl(control)),
    );
    await Promise.all(started.map(({ operator }) => waitReady(operator)));
    service.controls = service.controls.map((control) =>
      started.find(({ id }) => id === control.id) ?? control
    );
  }

  it("runs each key once while the control leader is killed", async () => {
    const { epoch } = await readHolders();
    const leader = await findLeader();
    const pending = createKeys("leader").map((key) => resendUntilAnswered(key));
    await service.fleet.stop(leader, "SIGKILL");
    service.controls = service.controls.filter(({ id }) => id !== leader.id);
    const first = await Promise.all(pending);
    await findLeader();
    const next = await replaceHolder("custody-0-new", "leader-0");
    expect(next).to.be.greaterThan(epoch);
    expect(await resendUntilAnswered("leader-0")).to.deep.equal(first[0]);
    service.controls = [...service.controls, leader];
    await restart([leader]);
  });

  it("keeps keys and epochs when all are killed and restarted", async () => {
    const keys = createKeys("all");
    const first = await Promise.all(
      keys.map((key) => resendUntilAnswered(key)),
    );
    const before = await readHolders();
    const stopped = service.controls;
    await Promise.all(
      stopped.map((control) => service.fleet.stop(control, "SIGKILL")),
    );
    const pending = createKeys("without").map((key) =>
      resendUntilAnswered(key)
    );
    await restart(stopped);
    await Promise.all(pending);
    expect(await readHolders()).to.deep.equal(before);
    expect(await Promise.all(keys.map((key) => resendUntilAnswered(key))))
      .to.deep.equal(first);
    const epoch = await replaceHolder("custody-1-new", "all-0");
    expect(epoch).to.be.greaterThan(before.epoch);
    expect(await resendUntilAnswered("all-0")).to.deep.equal(first[0]);
    expect((await readHolders()).members).to.have.lengthOf(3);
  });
});

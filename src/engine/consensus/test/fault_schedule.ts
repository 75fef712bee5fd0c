/** Runs fault schedules, encoded as random numbers, on a replica set. */
import fc from "fast-check";
import type { ConsensusReducer } from "../common/consensus_reducer.ts";
import type { Configuration } from "../common/log_types.ts";
import { EMPTY_DISK } from "../common/recovery.ts";
import { ReplicaSet, TEST_OPTIONS } from "./replica_set.ts";
import { SafetyViolation } from "./safety_checker.ts";

const CONFIGURATIONS: readonly Configuration[] = [
  { voters: ["a", "b", "c"], learners: [] },
  { voters: ["a", "b", "c"], learners: ["x"] },
  { voters: ["a", "b", "c", "d", "e"], learners: [] },
];
const NEW_ID = "n";
const MAX_RECOVERY_ROUNDS = 150;
const MAX_DELIVERY_GENERATIONS = 40;

/** The parameters of a step, all derived from one random number. */
interface Draw {
  /** The replica that the step applies to. */
  readonly id: string;
  readonly otherId: string;
  /** 16 random bits. */
  readonly bits: number;
}

interface ScheduleRun {
  readonly set: ReplicaSet;
  /** The replica whose disk was wiped; undefined if none. */
  wipedId: string | undefined;
  /** Rounds within which a read is answered if there are no faults. */
  readonly readRounds: number;
}

type Fault = (run: ScheduleRun, draw: Draw) => void;

const FAULTS: readonly (readonly [number, Fault])[] = [
  [8, runRound],
  [5, deliverSome],
  [2, (run, draw) => run.set.sync(draw.id)],
  [4, startProposalAtLeader],
  [1, (run, draw) => void run.set.startProposal(draw.id)],
  [3, (run, draw) => void run.set.read(draw.id)],
  [2, readAtLeader],
  [
    1,
    (run, { id, otherId }) => void run.set.blockedLinks.add(`${id}>${otherId}`),
  ],
  [2, isolateReplica],
  [2, (run) => run.set.blockedLinks.clear()],
  [2, (run, draw) => run.set.restart(draw.id, draw.bits % 4)],
  [4, startCampaign],
  [1, (run, draw) => void run.set.packets.splice(draw.bits % 7, 3)],
  [2, copyPackets],
  [1, (run, draw) => moveClock(run, draw, -(draw.bits % 500))],
  [2, pauseOrResume],
  [4, updateReplicas],
  [1, requestTransfer],
  [1, clearDisk],
];
const WEIGHTED_FAULTS: readonly Fault[] = FAULTS.flatMap(([weight, fault]) =>
  Array.from({ length: weight }, () => fault)
);

/** Runs a schedule; throws on a violation. Checks recovery after some. */
export function runSchedule(
  draws: ArrayLike<number>,
  reduce: ConsensusReducer,
): void {
  const run = createRun(draws[0] ?? 0, reduce);
  for (const number of Array.from(draws)) {
    const mixed = Math.imul(number, 0x9e3779b1) >>> 0;
    const ids = [...run.set.replicas.keys()];
    const fault = WEIGHTED_FAULTS[(mixed >>> 24) % WEIGHTED_FAULTS.length]!;
    fault(run, {
      id: ids[(mixed >>> 4) % ids.length]!,
      otherId: ids[(mixed >>> 8) % ids.length]!,
      bits: (mixed >>> 8) & 0xffff,
    });
  }
  // The expensive part; one schedule in five is enough to check progress.
  if ((draws[0] ?? 0) % 5 === 0) {
    checkRecovery(run);
  }
}

/** Draws schedules; each number is one step. */
export function createSchedules(maxLength = 70): fc.Arbitrary<Uint32Array> {
  return fc.uint32Array({ minLength: 40, maxLength });
}

function createRun(first: number, reduce: ConsensusReducer): ScheduleRun {
  const configuration = CONFIGURATIONS[first % CONFIGURATIONS.length]!;
  const maxBatchEntries = 1 + (first >>> 4) % 3;
  const isFirstTimeoutShort = ((first >>> 9) & 1) === 1;
  const areReadsGathered = ((first >>> 10) & 1) === 1;
  const { firstElectionTimeoutMs, readGatherMs } = TEST_OPTIONS;
  const set = new ReplicaSet({
    reduce,
    configuration,
    maxBatchEntries,
    ...(isFirstTimeoutShort ? { firstElectionTimeoutMs } : {}),
    ...(areReadsGathered ? { readGatherMs } : {}),
  });
  const readRounds = areReadsGathered ? 2 : 1;
  const run: ScheduleRun = { set, wipedId: undefined, readRounds };
  moveClock(run, { id: "a", otherId: "b", bits: 0 }, 200);
  runRounds(run, 1);
  return run;
}

function runRound(run: ScheduleRun, draw: Draw): void {
  const { set } = run;
  set.nowMs += 10;
  let position = 0;
  for (const id of set.replicas.keys()) {
    set.push(id, { type: "Ticked" });
    // One disk in four does not sync in this round.
    if (((draw.bits >> (2 * position)) & 3) !== 0) {
      set.sync(id);
    }
    position++;
  }
  for (const packet of takePackets(set)) {
    set.deliver(packet);
  }
}

function runRounds(run: ScheduleRun, rounds: number): void {
  const { set } = run;
  for (let round = 0; round < rounds; round++) {
    set.nowMs += 10;
    set.replicas.forEach((_, id) => set.push(id, { type: "Ticked" }));
    let generation = 0;
    while (isBusy(set) && generation < MAX_DELIVERY_GENERATIONS) {
      set.replicas.forEach((_, id) => set.sync(id));
      takePackets(set).forEach((packet) => set.deliver(packet));
      generation++;
    }
  }
}

function isBusy(set: ReplicaSet): boolean {
  return set.packets.length > 0 ||
    [...set.replicas.values()].some((r) => r.writes.length > 0);
}

function takePackets(set: ReplicaSet): ReplicaSet["packets"] {
  const { packets } = set;
  set.packets = [];
  return packets;
}

function deliverSome(run: ScheduleRun, draw: Draw): void {
  const { set } = run;
  for (let count = draw.bits % 5; count >= 0; count--) {
    const position = (draw.bits >> count) % (set.packets.length || 1);
    set.packets.splice(position, 1).forEach((packet) => set.deliver(packet));
  }
}

function copyPackets(run: ScheduleRun, draw: Draw): void {
  const { set } = run;
  const from = draw.bits % (set.packets.length || 1);
  set.packets.push(...set.packets.slice(from, from + 4));
}

function startProposalAtLeader(run: ScheduleRun, draw: Draw): void {
  run.set.startProposal(pickLeader(run, draw));
}

function readAtLeader(run: ScheduleRun, draw: Draw): void {
  run.set.read(pickLeader(run, draw));
}

function isolateReplica(run: ScheduleRun, draw: Draw): void {
  const isolatedId = draw.bits % 2 === 0 ? pickLeader(run, draw) : draw.id;
  for (const id of run.set.replicas.keys()) {
    run.set.blockedLinks.add(`${id}>${isolatedId}`);
    run.set.blockedLinks.add(`${isolatedId}>${id}`);
  }
}

function moveClock(run: ScheduleRun, draw: Draw, byMs: number): void {
  const replica = run.set.replicas.get(draw.id)!;
  replica.clockOffsetMs += byMs;
  run.set.push(draw.id, { type: "Ticked" });
}

/** Advances a replica's clock past the election timeout. */
function startCampaign(run: ScheduleRun, draw: Draw): void {
  const { set } = run;
  moveClock(run, draw, 100);
  // The leader is no longer active for the other replicas either.
  if (draw.bits % 2 === 0) {
    set.nowMs += 60;
  }
}

/**
 * Pauses a leader, or resumes one and has it serve a read before its next tick.
 */
function pauseOrResume(run: ScheduleRun, draw: Draw): void {
  const { set } = run;
  for (const [id, replica] of set.replicas) {
    if (replica.isPaused) {
      replica.isPaused = false;
      set.read(id);
      return;
    }
  }
  set.replicas.get(pickLeader(run, draw))!.isPaused = true;
  set.nowMs += draw.bits % 80;
}

/** Picks a leader; if there is none, the replica of the draw. */
function pickLeader(run: ScheduleRun, draw: Draw): string {
  const leaders = run.set.listLeaders();
  return leaders[draw.bits % leaders.length] ?? draw.id;
}

function updateReplicas(run: ScheduleRun, draw: Draw): void {
  const { set } = run;
  if (!set.replicas.has(NEW_ID)) {
    return;
  }
  const oldId = run.wipedId ?? "a";
  set.listLeaders().slice(0, 1 + draw.bits % 2)
    .forEach((id) => set.updateReplicas(id, oldId, NEW_ID));
}

function requestTransfer(run: ScheduleRun, draw: Draw): void {
  run.set.push(draw.id, {
    type: "LeadershipTransferRequested",
    targetId: draw.bits % 2 === 0 ? undefined : draw.otherId,
  });
}

/** Wipes one replica's disk, at most once; it restarts with a new id. */
function clearDisk(run: ScheduleRun, draw: Draw): void {
  const { set } = run;
  if (run.wipedId !== undefined) {
    return;
  }
  set.replicas.delete(draw.id);
  run.wipedId = draw.id;
  set.start(NEW_ID, EMPTY_DISK);
}

/** Ends all faults; then a proposal and a read at each replica must succeed. */
function checkRecovery(run: ScheduleRun): void {
  const { set } = run;
  set.blockedLinks.clear();
  set.replicas.forEach((replica) => {
    replica.isPaused = false;
  });
  for (let round = 0; round < MAX_RECOVERY_ROUNDS; round++) {
    runRounds(run, 1);
    const [leader] = set.listLeaders();
    if (leader === undefined) {
      continue;
    }
    const { configuration } = set.replicas.get(leader)!.state;
    const { voters, learners } = configuration;
    const isReplaced = run.wipedId === undefined ||
      (voters.includes(NEW_ID) &&
        ![...voters, ...learners].includes(run.wipedId));
    if (isReplaced && canServe(run, leader)) {
      return;
    }
    if (run.wipedId !== undefined && !isReplaced) {
      set.updateReplicas(leader, run.wipedId, NEW_ID);
    }
  }
  throw new SafetyViolation("no progress after the faults ended");
}

function canServe(run: ScheduleRun, leader: string): boolean {
  const { set } = run;
  const since = set.reportedEffects.length;
  const requestId = set.startProposal(leader);
  runRounds(run, 2);
  const { voters, learners } = set.replicas.get(leader)!.state.configuration;
  const wanted = [
    requestId,
    ...[...voters, ...learners].map((id) => set.read(id)),
  ];
  runRounds(run, run.readRounds);
  const done = set.reportedEffects.slice(since).flatMap(({ effect }) =>
    effect.type === "ReadReady" || effect.type === "ProposalCommitted"
      ? [effect.requestId]
      : []
  );
  return wanted.every((id) => done.includes(id));
}

/** Fault injection: each file operation fails, or the machine crashes at it. */
import { expect } from "chai";
import type { Result } from "neverthrow";
import type { Recovered } from "../../consensus/common/log_types.ts";
import type { StorageError } from "../common/storage_error.ts";
import type { Storage } from "../node/storage.ts";
import { CRASHES, MemoryFiles } from "./memory_files.ts";
import type { Crash, Fault } from "./memory_files.ts";
import {
  createEntry,
  createSnapshot,
  createWrite,
  listEntries,
  openFailing,
  openSuccessfully,
} from "./storage_fixture.ts";

const SEGMENT_BYTES = 250;

interface Step {
  readonly run: (
    storage: Storage,
  ) => PromiseLike<Result<void, StorageError>>;
  /** Recovered state that a restart must find after the step. */
  readonly after: string;
}

function append(
  index: number,
  term: number,
  after: string,
  truncateFrom?: number,
): Step {
  const hardState = { term, votedFor: `v${index}` };
  const entries = [createEntry(index, term)];
  const write = createWrite(entries, { hardState, truncateFrom });
  return { run: (storage) => storage.append(write), after };
}

function snapshot(
  lastIndex: number,
  lastTerm: number,
  after: string,
  discardsLog = false,
): Step {
  const stored = { snapshot: createSnapshot(lastIndex, lastTerm), discardsLog };
  return { run: (storage) => storage.saveSnapshot(stored), after };
}

/** Term and vote of the hard state, last index of the snapshot, entries. */
const START = "0 - 0 []";
const WRITE_STEPS: readonly Step[] = [
  append(1, 1, "1 v1 0 [1:1]"),
  append(2, 1, "1 v2 0 [1:1 1:2]"),
  append(3, 1, "1 v3 0 [1:1 1:2 1:3]"),
  append(3, 2, "2 v3 0 [1:1 1:2 2:3]", 3),
  snapshot(2, 1, "2 v3 2 [2:3]"),
  append(4, 2, "2 v4 2 [2:3 2:4]"),
  append(5, 2, "2 v5 2 [2:3 2:4 2:5]"),
  append(6, 2, "2 v6 2 [2:3 2:4 2:5 2:6]"),
  snapshot(4, 2, "2 v6 4 [2:5 2:6]"),
  append(7, 2, "2 v7 4 [2:5 2:6 2:7]"),
  snapshot(6, 2, "2 v7 6 []", true),
  snapshot(9, 3, "2 v7 9 []", true),
  append(10, 4, "4 v10 9 [4:10]"),
];

function describeRecovered({ hardState, snapshot, entries }: Recovered) {
  const { term, votedFor = "-" } = hardState;
  const lastIndex = snapshot?.lastIndex ?? 0;
  return `${term} ${votedFor} ${lastIndex} [${listEntries(entries).join(" ")}]`;
}

interface Run {
  readonly files: MemoryFiles;
  /** Number of steps acknowledged. */
  readonly done: number;
  readonly errors: readonly StorageError[];
}

/** Runs the steps, each at most twice, until one fails twice. */
async function runSteps(fault: Fault): Promise<Run> {
  const files = new MemoryFiles();
  const { storage } = await openSuccessfully(files, SEGMENT_BYTES);
  files.operationCount = 0;
  files.fault = fault;
  const errors: StorageError[] = [];
  let done = 0;
  for (const step of WRITE_STEPS) {
    let result = await step.run(storage);
    if (result.isErr()) {
      errors.push(result.error);
      result = await step.run(storage);
    }
    if (result.isErr()) {
      errors.push(result.error);
      break;
    }
    done += 1;
  }
  return { files, done, errors };
}

/** Lists the states that may be recovered: after `done` steps, or one more. */
function listAllowed(done: number): readonly string[] {
  return [START, ...WRITE_STEPS.map(({ after }) => after)].slice(
    done,
    done + 2,
  );
}

async function checkCrash(run: Run, crash: Crash, context: string) {
  const files = run.files.recover(crash);
  const { recovered, storage } = await openSuccessfully(files, SEGMENT_BYTES);
  const recoveredText = describeRecovered(recovered);
  expect(listAllowed(run.done), context).to.include(recoveredText);
  const term = recovered.hardState.term + 1;
  const hardState = { term, votedFor: "again" };
  (await storage.append(createWrite([], { hardState })))._unsafeUnwrap();
  const reopened = await openSuccessfully(
    files.recover(CRASHES[0]!),
    SEGMENT_BYTES,
  );
  expect(reopened.recovered.hardState, context).to.deep.equal(hardState);
}

async function countOperations(): Promise<number> {
  const run = await runSteps(() => undefined);
  expect(run.done).to.equal(WRITE_STEPS.length);
  return run.files.operationCount;
}

describe("storage faults", () => {
  it("keeps each acknowledged step without any fault", async () => {
    const run = await runSteps(() => undefined);
    expect(run.files.names.length).to.equal(3);
    for (const crash of CRASHES) {
      await checkCrash(run, crash, JSON.stringify(crash));
    }
  });

  it("loses no acknowledged step when an operation fails once", async () => {
    const count = await countOperations();
    expect(count).to.be.greaterThan(50);
    for (let position = 0; position < count; position++) {
      const run = await runSteps((_, n) => n === position ? "EIO" : undefined);
      expect(run.errors.length, `operation ${position}`).to.be.greaterThan(0);
      for (const crash of CRASHES) {
        const context = `operation ${position}, ${JSON.stringify(crash)}`;
        await checkCrash(run, crash, context);
      }
    }
  });

  it("loses nothing answered for when it goes down at any point", async () => {
    const count = await countOperations();
    for (let position = 0; position < count; position++) {
      const run = await runSteps((_, n) => n >= position ? "EIO" : undefined);
      for (const crash of CRASHES) {
        const context = `crash at operation ${position}, ${
          JSON.stringify(crash)
        }`;
        await checkCrash(run, crash, context);
      }
    }
  });

  it("writes no more after a sync has failed", async () => {
    const files = new MemoryFiles();
    const { storage } = await openSuccessfully(files);
    files.fault = (operation) => operation === "sync" ? "EIO" : undefined;
    const first = await storage.append(createWrite([createEntry(1)]));
    files.fault = () => undefined;
    const second = await storage.append(createWrite([createEntry(1)]));
    expect(first._unsafeUnwrapErr().type).to.equal("FileFailed");
    expect(second._unsafeUnwrapErr().type).to.equal("StorageStopped");
  });

  it("reports a full disk, stores nothing, and continues once there is space", async () => {
    const files = new MemoryFiles();
    const { storage } = await openSuccessfully(files);
    (await storage.append(createWrite([createEntry(1)])))._unsafeUnwrap();
    files.fault = (operation) => operation === "write" ? "ENOSPC" : undefined;
    const refused = await storage.append(createWrite([createEntry(2)]));
    expect(refused._unsafeUnwrapErr()).to.include({ code: "ENOSPC" });
    const full = await openSuccessfully(files.recover(CRASHES[3]!));
    expect(listEntries(full.recovered.entries)).to.deep.equal(["1:1"]);
    files.fault = () => undefined;
    (await storage.append(createWrite([createEntry(2)])))._unsafeUnwrap();
    const { recovered } = await openSuccessfully(files.recover(CRASHES[0]!));
    expect(listEntries(recovered.entries)).to.deep.equal(["1:1", "1:2"]);
  });

  it("leaves no bytes of a failed write after a shorter one", async () => {
    const files = new MemoryFiles();
    const { storage } = await openSuccessfully(files);
    const long = { ...createEntry(1), payload: Buffer.alloc(900, 7) };
    files.fault = (operation) => operation === "write" ? "ENOSPC" : undefined;
    expect((await storage.append(createWrite([long]))).isErr()).to.equal(true);
    files.fault = () => undefined;
    (await storage.append(createWrite([createEntry(1)])))._unsafeUnwrap();
    const { recovered } = await openSuccessfully(files.recover(CRASHES[0]!));
    expect(listEntries(recovered.entries)).to.deep.equal(["1:1"]);
  });

  it("starts again after a crash at any point of the first start", async () => {
    for (let position = 0;; position++) {
      const files = new MemoryFiles();
      files.fault = (_, n) => n >= position ? "EIO" : undefined;
      const outcome = await openFailing(files);
      for (const crash of CRASHES) {
        const { recovered } = await openSuccessfully(files.recover(crash));
        expect(describeRecovered(recovered)).to.equal(START);
      }
      if (outcome === "opened") {
        return;
      }
    }
  });
});

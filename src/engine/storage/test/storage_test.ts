/** Recovery from torn, damaged and foreign data folders. */
import { expect } from "chai";
import { encodeFileHeader, FILE_HEADER_BYTES } from "../node/record_codec.ts";
import { MemoryFiles } from "./memory_files.ts";
import {
  createEntry,
  createSnapshot,
  createWrite,
  listEntries,
  openFailing,
  openSuccessfully,
} from "./storage_fixture.ts";

const LOG = "log-0000000001";

/**
 * Writes five records; returns the end of the head record and of each of these.
 */
async function writeLog(files: MemoryFiles): Promise<readonly number[]> {
  const { storage } = await openSuccessfully(files);
  const recordEnds = [files.get(LOG).length];
  for (let index = 1; index <= 5; index++) {
    const hardState = { term: index, votedFor: "a" };
    const write = createWrite([createEntry(index)], { hardState });
    (await storage.append(write))._unsafeUnwrap();
    recordEnds.push(files.get(LOG).length);
  }
  return recordEnds;
}

function putChanged(
  files: MemoryFiles,
  name: string,
  change: (bytes: Uint8Array) => void,
): MemoryFiles {
  const copy = files.recover({ keepsNames: true, keepsBytes: true });
  const bytes = new Uint8Array(files.get(name));
  change(bytes);
  copy.put(name, bytes);
  return copy;
}

describe("storage", () => {
  it("recovers written entries, with a suffix truncated and replaced", async () => {
    const files = new MemoryFiles();
    await writeLog(files);
    const { storage } = await openSuccessfully(files);
    const write = createWrite([createEntry(4, 2)], { truncateFrom: 4 });
    (await storage.append(write))._unsafeUnwrap();
    const { recovered } = await openSuccessfully(files);
    expect(listEntries(recovered.entries))
      .to.deep.equal(["1:1", "1:2", "1:3", "2:4"]);
    expect(recovered.entries[3]!.payload)
      .to.deep.equal(new Uint8Array(createEntry(4, 2).payload));
    expect(recovered.hardState).to.deep.equal({ term: 5, votedFor: "a" });
  });

  it("keeps exactly the whole records, wherever the file is cut", async () => {
    const files = new MemoryFiles();
    const recordEnds = await writeLog(files);
    for (let size = recordEnds[1]!; size <= recordEnds[5]!; size++) {
      const cut = files.recover({ keepsNames: true, keepsBytes: true });
      cut.put(LOG, files.get(LOG).slice(0, size));
      const whole = recordEnds.findLastIndex((end) => end <= size);
      const first = await openSuccessfully(cut);
      expect(first.recovered.entries.length, `cut at ${size}`).to.equal(
        whole,
      );
      expect(first.recovered.hardState.term).to.equal(whole);
      expect(first.cutBytes).to.equal(size - recordEnds[whole]!);
      const next = createWrite([createEntry(whole + 1, 9)]);
      (await first.storage.append(next))._unsafeUnwrap();
      const { recovered, cutBytes } = await openSuccessfully(cut);
      expect(recovered.entries.at(-1)!.term).to.equal(9);
      expect(cutBytes).to.equal(0);
    }
  });

  it("refuses a log with any one byte flipped", async () => {
    const files = new MemoryFiles();
    await writeLog(files);
    const size = files.get(LOG).length;
    for (let offset = 0; offset < size; offset++) {
      const flipped = putChanged(files, LOG, (bytes) => bytes[offset]! ^= 0x10);
      expect(await openFailing(flipped), `byte ${offset}`).to.equal(
        "DataDamaged",
      );
    }
  });

  it("truncates a tail whose sectors were never written", async () => {
    const files = new MemoryFiles();
    const recordEnds = await writeLog(files);
    const zeroed = putChanged(
      files,
      LOG,
      (bytes) => bytes.fill(0, recordEnds[4]!),
    );
    const { recovered } = await openSuccessfully(zeroed);
    expect(recovered.entries.length).to.equal(4);
  });

  it("refuses zeroed sectors that are followed by records", async () => {
    const files = new MemoryFiles();
    const { storage } = await openSuccessfully(files);
    const recordEnds: number[] = [];
    for (let index = 1; index <= 4; index++) {
      const entry = { ...createEntry(index), payload: Buffer.alloc(2_000, 7) };
      (await storage.append(createWrite([entry])))._unsafeUnwrap();
      recordEnds.push(files.get(LOG).length);
    }
    const holed = putChanged(
      files,
      LOG,
      (bytes) => bytes.fill(0, recordEnds[1]!, recordEnds[2]!),
    );
    expect(await openFailing(holed)).to.equal("DataDamaged");
  });

  it("refuses a missing or damaged file of each kind", async () => {
    const files = new MemoryFiles();
    const { storage } = await openSuccessfully(files, 1);
    for (let index = 1; index <= 4; index++) {
      (await storage.append(createWrite([createEntry(index)])))
        ._unsafeUnwrap();
      if (index === 2) {
        const snapshot = createSnapshot(1);
        (await storage.saveSnapshot({ snapshot, discardsLog: false }))
          ._unsafeUnwrap();
      }
    }
    expect(files.names.length, files.names.join()).to.be.greaterThan(4);
    for (const name of files.names) {
      const missing = files.recover({ keepsNames: true, keepsBytes: true });
      missing.delete(name);
      const isLast = name === files.names.findLast((n) => n.startsWith("log"));
      if (!isLast) {
        expect(await openFailing(missing), `no ${name}`)
          .to.equal("DataDamaged");
      }
      const last = files.get(name).length - 1;
      const flipped = putChanged(files, name, (bytes) => bytes[last]! ^= 1);
      expect(await openFailing(flipped), `damaged ${name}`)
        .to.equal("DataDamaged");
    }
  });

  it("refuses a log from whose middle a vote is missing", async () => {
    const files = new MemoryFiles();
    const { storage } = await openSuccessfully(files, 1);
    for (const term of [1, 2, 3]) {
      const hardState = { term, votedFor: "a" };
      (await storage.append(createWrite([], { hardState })))._unsafeUnwrap();
    }
    files.delete("log-0000000003");
    expect(await openFailing(files)).to.equal("DataDamaged");
  });

  it("refuses a format version that it does not know", async () => {
    const files = new MemoryFiles();
    const { storage } = await openSuccessfully(files);
    (await storage.append(createWrite([createEntry(1)])))._unsafeUnwrap();
    const snapshot = createSnapshot(1);
    (await storage.saveSnapshot({ snapshot, discardsLog: false }))
      ._unsafeUnwrap();
    for (const name of files.names) {
      const newer = putChanged(files, name, (bytes) => {
        bytes.set(encodeFileHeader(2).subarray(0, FILE_HEADER_BYTES));
      });
      expect(await openFailing(newer), name).to.equal("FormatUnknown");
    }
  });

  it("refuses the folder of another replica", async () => {
    const files = new MemoryFiles();
    const { replicaId } = await openSuccessfully(files);
    expect(replicaId).to.equal("control-a~0a1b");
    const other = await openStorageAs(files, "control-b");
    expect(other).to.equal("FolderForeign");
  });
});

async function openStorageAs(files: MemoryFiles, settingsId: string) {
  const { openStorage } = await import("../node/storage.ts");
  const opened = await openStorage({ files, settingsId, identitySuffix: "x" });
  return opened.isErr() ? opened.error.type : "opened";
}

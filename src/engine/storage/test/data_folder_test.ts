/**
 * Tests of data folders on disk: lock, identity and durability of real files.
 */
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  statSync,
  truncateSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";
import { openDataFolder } from "../node/data_folder.ts";
import type { DataFolder } from "../node/data_folder.ts";
import { LOCK_FILE } from "../node/folder_lock.ts";
import { createEntry, createWrite, listEntries } from "./storage_fixture.ts";

describe("data folder", () => {
  let root: string;
  let folder: string;

  beforeEach(() => {
    root = mkdtempSync(join(tmpdir(), "basilpin-storage-"));
    folder = join(root, "data");
  });

  afterEach(() => rmSync(root, { recursive: true, force: true }));

  it("is readable only by its owner, since it contains keys of callers", async () => {
    const first = await openOk();
    const write = createWrite([createEntry(1)]);
    (await first.storage.append(write))._unsafeUnwrap();
    await close(first);
    const names = readdirSync(folder).filter((name) => name !== LOCK_FILE);
    expect(names).not.to.have.length(0);
    const files = names.map((name) => join(folder, name));
    for (const path of [folder, ...files]) {
      expect(statSync(path).mode & 0o077, path).to.equal(0);
    }
  });

  it("keeps entries and identity over restarts, and truncates a torn tail", async () => {
    const first = await openOk();
    expect(first.isNew).to.equal(true);
    for (const index of [1, 2, 3]) {
      const written = await first.storage.append(
        createWrite([createEntry(index)]),
      );
      written._unsafeUnwrap();
    }
    await close(first);
    const log = join(folder, "log-0000000001");
    truncateSync(log, readFileSync(log).length - 1);
    const second = await openOk();
    await close(second);
    expect(second.isNew).to.equal(false);
    expect(second.replicaId).to.equal(first.replicaId);
    expect(second.cutBytes).to.be.greaterThan(0);
    expect(listEntries(second.recovered.entries))
      .to.deep.equal(["1:1", "1:2"]);
  });

  it("gives a wiped folder a new identity", async () => {
    const first = await openOk();
    await close(first);
    rmSync(folder, { recursive: true });
    const second = await openOk();
    await close(second);
    expect(second.isNew).to.equal(true);
    expect(second.replicaId).to.match(/^control-a~/);
    expect(second.replicaId).not.to.equal(first.replicaId);
  });

  it("allows one writer, and replaces the lock of a process that has ended", async () => {
    const first = await openOk();
    const second = await openDataFolder(folder, "control-a");
    expect(second._unsafeUnwrapErr())
      .to.deep.equal({ type: "FolderLocked", folder, pid: process.pid });
    const lock = join(folder, LOCK_FILE);
    const lockText = readFileSync(lock, "utf8");
    await close(first);
    const stamp = JSON.parse(lockText) as { pid: number; startedAt: string };
    const reused = { ...stamp, startedAt: "1@an-earlier-boot" };
    writeFileSync(lock, JSON.stringify(reused));
    const third = await openOk();
    expect(readFileSync(lock, "utf8")).to.equal(lockText);
    await close(third);
  });

  it("ignores a stale lock when opened without locking", async () => {
    await close(await openOk());
    const stamp = { pid: process.pid, startedAt: "" };
    writeFileSync(join(folder, LOCK_FILE), JSON.stringify(stamp));
    const opened = await openDataFolder(folder, "control-a", {
      isLocked: false,
    });
    await close(opened._unsafeUnwrap());
  });

  async function openOk(): Promise<DataFolder> {
    return (await openDataFolder(folder, "control-a"))._unsafeUnwrap();
  }
});

async function close({ storage, lock }: DataFolder): Promise<void> {
  await storage[Symbol.asyncDispose]();
  await lock?.[Symbol.asyncDispose]();
}

/** Contents of a disk after a write, as storage guarantees them. */
import type { ConsensusEffect } from "../common/consensus_events.ts";
import type { Recovered } from "../common/log_types.ts";

/** An effect that writes to the disk. */
export type DiskWrite = Extract<
  ConsensusEffect,
  { type: "PersistLog" | "PersistSnapshot" }
>;

/** Applies one write atomically. */
export function applyWrite(disk: Recovered, write: DiskWrite): Recovered {
  if (write.type === "PersistSnapshot") {
    const { snapshot, discardsLog } = write;
    const entries = discardsLog
      ? []
      : disk.entries.filter(({ index }) => index > snapshot.lastIndex);
    return { ...disk, snapshot, entries };
  }
  const from = write.truncateFrom ?? Infinity;
  const kept = disk.entries.filter(({ index }) => index < from);
  const hardState = write.hardState ?? disk.hardState;
  return { ...disk, hardState, entries: [...kept, ...write.entries] };
}

/** Reads processor time and memory of other processes from /proc. */
import { readFileSync } from "node:fs";

/** Clock ticks per second in /proc (USER_HZ). */
const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
/** Index of the user time among the fields after the command (proc(5)). */
const USER_TICKS_FIELD = 11;
const KIB_PER_MIB = 1_024;

/** Reads the processor time of a process, in ms, with a resolution of 10 ms. */
export function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS_FIELD]) +
    Number(fields[USER_TICKS_FIELD + 1]);
  return ticks * MS_PER_SECOND / TICKS_PER_SECOND;
}

/** Reads the resident memory of a process, in MiB. */
export function readResidentMib(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  return kib / KIB_PER_MIB;
}

/** Processor time and I/O of processes, and processor time of the machine. */
import { readFileSync } from "node:fs";
import { availableParallelism, cpus } from "node:os";

/** Clock ticks per second in /proc on Linux (USER_HZ). */
const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;

/** Reads the processor time that a process has used, in milliseconds. */
export function readProcessCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The command in parentheses may contain spaces; user and system time are the
  // 12th and 13th fields after it (proc(5)).
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks / TICKS_PER_SECOND * MS_PER_SECOND;
}

/** Totals that a process has read and written, including sockets. */
export interface ProcessIo {
  /** Number of read and write system calls. */
  readonly calls: number;
  readonly bytes: number;
}

/** Reads the I/O counters of a process from /proc/PID/io (proc(5)). */
export function readProcessIo(pid: number): ProcessIo {
  const text = readFileSync(`/proc/${pid}/io`, "utf8");
  const fields = new Map(
    text.split("\n").map((line) => {
      const [name = "", value = "0"] = line.split(": ");
      return [name, Number(value)] as const;
    }),
  );
  const get = (name: string) => fields.get(name) ?? 0;
  return {
    calls: get("syscr") + get("syscw"),
    bytes: get("rchar") + get("wchar"),
  };
}

/** Busy and total time of all cores since boot. */
export interface MachineCpu {
  readonly busyMs: number;
  readonly totalMs: number;
}

/** Reads the processor time of all cores of the machine. */
export function readMachineCpu(): MachineCpu {
  let busyMs = 0;
  let totalMs = 0;
  for (const { times } of cpus()) {
    const used = times.user + times.nice + times.sys + times.irq;
    busyMs += used;
    totalMs += used + times.idle;
  }
  return { busyMs, totalMs };
}

/** Computes the busy share of all cores between two readings, from 0 to 1. */
export function computeBusyShare(from: MachineCpu, to: MachineCpu): number {
  const totalMs = to.totalMs - from.totalMs;
  return totalMs === 0 ? 0 : (to.busyMs - from.busyMs) / totalMs;
}

/** Counts the cores that this process may use. */
export function countCores(): number {
  return availableParallelism();
}

/**
 * Evidence against requests that end backend servers, as determined by the
 * replicated log.
 */
import { setEntry } from "../../../base/common/maps.ts";
import {
  applyEvidence,
  createPardon,
  EMPTY_CRASH_RECORD,
} from "../../quarantine/common/crash_evidence.ts";
import type {
  CrashEvidence,
  CrashRecord,
} from "../../quarantine/common/crash_evidence.ts";
import {
  flattenEvidence,
  parseEvidence,
} from "../../quarantine/common/crash_messages.ts";
import { CrashVerdicts } from "../../quarantine/common/crash_verdicts.ts";
import type { CrashVerdict } from "../../quarantine/common/crash_verdicts.ts";
import type { CrashCommand } from "../../quarantine/common/crash_messages.ts";

import { removeCaller } from "../../quarantine/common/request_identity.ts";

/** The evidence by service. */
export type CrashRecords = ReadonlyMap<string, CrashRecord>;

/** Applies a command; returns the same object if it says nothing new. */
export function updateCrashes(
  records: CrashRecords,
  { reports, atMs }: CrashCommand,
): CrashRecords {
  return reports.reduce((result, { service, evidence }) => {
    const before = result.get(service) ?? EMPTY_CRASH_RECORD;
    const received = evidence.map((each) => parseEvidence(each, atMs));
    const after = applyEvidence(before, received, atMs);
    return after === before ? result : setEntry(result, service, after);
  }, records);
}

/** Formats what a command says, so that equal ones are proposed once. */
export function formatCrashCommand({ reports }: CrashCommand): string {
  return JSON.stringify(
    reports.map(({ service, evidence }) => [
      service,
      evidence.map(([fingerprint, ends, pardoned]) => [
        fingerprint,
        ends,
        pardoned,
      ]),
    ]),
  );
}

/** Lists the evidence of a service that changed. */
export function listChangedEvidence(
  before: CrashRecords,
  after: CrashRecords,
  service: string,
): readonly CrashEvidence[] {
  const known = before.get(service) ?? EMPTY_CRASH_RECORD;
  return [...after.get(service)?.values() ?? []]
    .filter((evidence) => known.get(evidence.fingerprint) !== evidence);
}

/** One request with evidence, as reported to operators. */
export interface CrashRow {
  readonly service: string;
  readonly fingerprint: string;
  readonly verdict: CrashVerdict["type"];
  /** Process instances that may have ended under it. */
  readonly ends: readonly string[];
  readonly endsAlone: number;
  readonly pardoned: number;
  readonly ageMs: number;
  /** Time until it is tried again, in milliseconds; 0 unless quarantined. */
  readonly quarantineMs: number;
}

/** Lists the evidence of all services, the newest first. */
export function listCrashRows(
  records: CrashRecords,
  nowMs: number,
): readonly CrashRow[] {
  const rows = [...records].flatMap(([service, record]) => {
    const verdicts = new CrashVerdicts(record);
    return [...record.values()].map((evidence): CrashRow => {
      const { fingerprint, ends, pardoned, changedAtMs } = evidence;
      const verdict = verdicts.evaluate(fingerprint, nowMs);
      return {
        service,
        fingerprint,
        verdict: verdict.type,
        ends: ends.map(({ instance }) => instance),
        endsAlone: ends.filter(({ wasAlone }) => wasAlone).length,
        pardoned: pardoned.length,
        ageMs: nowMs - changedAtMs,
        quarantineMs: verdict.type === "Quarantined"
          ? verdict.untilMs - nowMs
          : 0,
      };
    });
  });
  return rows.sort((a, b) => a.ageMs - b.ageMs);
}

/** An operator's decision on one request. */
export interface QuarantineOrder {
  readonly service: string;
  /** Fingerprint of the request; without a caller it stands for all callers. */
  readonly fingerprint: string;
  readonly action: "clear" | "add";
}

/**
 * Creates the command of an operator's order. Clearing pardons all recorded
 * ends; adding records two ends as proof. Undefined if there is nothing to
 * clear.
 */
export function createOrderCommand(
  records: CrashRecords,
  { service, fingerprint, action }: QuarantineOrder,
  { operator, nowMs }: { readonly operator: string; readonly nowMs: number },
): CrashCommand | undefined {
  const evidence = action === "add"
    ? [createProof(fingerprint, operator, nowMs)]
    : [...records.get(service)?.values() ?? []]
      .filter((each) =>
        each.ends.length > 0 && isIncluded(each.fingerprint, fingerprint)
      )
      .map((each) => createPardon(each, nowMs));
  return evidence.length === 0 ? undefined : {
    type: "CrashesReported",
    reports: [{
      service,
      evidence: evidence.map((each) => flattenEvidence(each, nowMs)),
    }],
    atMs: nowMs,
  };
}

function createProof(
  fingerprint: string,
  operator: string,
  nowMs: number,
): CrashEvidence {
  const ends = [1, 2].map((number) => ({
    instance: `${operator} ${nowMs} ${number}`,
    wasAlone: true,
    others: 0,
  }));
  return { fingerprint, ends, pardoned: [], changedAtMs: nowMs };
}

function isIncluded(fingerprint: string, ordered: string): boolean {
  return fingerprint === ordered || removeCaller(fingerprint) === ordered;
}

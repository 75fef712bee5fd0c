/** Pushes the committed evidence to the nodes linked to this replica. */
import { createReduction } from "../../../base/common/reduction.ts";
import { EMPTY_CRASH_RECORD } from "../../quarantine/common/crash_evidence.ts";
import type { CrashEvidence } from "../../quarantine/common/crash_evidence.ts";
import { flattenEvidence } from "../../quarantine/common/crash_messages.ts";
import { listChangedEvidence } from "./crash_records.ts";
import type { CrashRecords } from "./crash_records.ts";
import { createSend } from "./control_state.ts";
import type {
  ControlEffect,
  ControlState,
  ControlStep,
} from "./control_state.ts";

/** Replaces the evidence, and sends what changed to the subscribed nodes. */
export function replaceCrashes(
  state: ControlState,
  crashes: CrashRecords,
  nowMs: number,
): ControlStep {
  const effects = [...crashes.keys()].flatMap((service) => {
    const changed = listChangedEvidence(state.crashes, crashes, service);
    return changed.length === 0
      ? []
      : createUpdates(state, { service, evidence: changed, nowMs });
  });
  return createReduction({ ...state, crashes }, effects);
}

/** Creates the message with all evidence of a service; none if there is none. */
export function createCrashList(
  { crashes }: ControlState,
  linkId: number,
  { service, nowMs }: { readonly service: string; readonly nowMs: number },
): readonly ControlEffect[] {
  const record = crashes.get(service) ?? EMPTY_CRASH_RECORD;
  const evidence = [...record.values()];
  return evidence.length === 0
    ? []
    : [createSend(linkId, createUpdate({ service, evidence, nowMs }))];
}

interface ServiceEvidence {
  readonly service: string;
  readonly evidence: readonly CrashEvidence[];
  readonly nowMs: number;
}

function createUpdates(
  { links }: ControlState,
  changed: ServiceEvidence,
): readonly ControlEffect[] {
  const message = createUpdate(changed);
  return [...links]
    .filter(([, { wantsCrashes, services }]) =>
      wantsCrashes && services.includes(changed.service)
    )
    .map(([linkId]) => createSend(linkId, message));
}

function createUpdate({ service, evidence, nowMs }: ServiceEvidence) {
  const flattened = evidence.map((each) => flattenEvidence(each, nowMs));
  const report = { service, evidence: flattened };
  return { type: "CrashUpdate", report } as const;
}

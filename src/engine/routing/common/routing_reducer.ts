/** Reducer of the routing state: members, subsets and measurements. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import { isNewerAnnouncement } from "../../membership/common/announcement.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import {
  createView,
  recordAttemptEnd,
  recordAttemptStart,
} from "./backend_view.ts";
import type { AttemptReport, BackendView } from "./backend_view.ts";
import { evaluateView } from "./ejection.ts";
import { EMPTY_SERVICE_VIEW } from "./routing_state.ts";
import type { RoutingState, ServiceView } from "./routing_state.ts";
import { chooseSubset } from "./subset.ts";

/** An event that changes the routing state. */
export type RoutingEvent =
  | { readonly type: "MemberPublished"; readonly announcement: Announcement }
  | {
    readonly type: "MemberLost";
    readonly service: string;
    readonly nodeId: string;
  }
  | {
    readonly type: "MembersListed";
    readonly service: string;
    readonly members: readonly Announcement[];
  }
  | {
    readonly type: "AttemptStarted";
    readonly service: string;
    readonly nodeId: string;
  }
  | { readonly type: "AttemptFinished"; readonly report: AttemptReport };

interface ServiceChange {
  readonly name: string;
  readonly service: ServiceView;
  /** Whether nothing was known of the service before its member list. */
  readonly isFirstList?: boolean;
}

/** Weight of a sample in the latency baseline of a kind. */
const BASELINE_GAIN = 0.05;
/** Upper bound of a sample, as a multiple of the baseline plus 1 ms. */
const MAX_BASELINE_SAMPLE_RATIO = 3;
/** Smaller relative changes are skipped, to avoid a copy for each call. */
const MIN_BASELINE_CHANGE_RATIO = 0.01;
/** Shorter latencies count as this in a ratio: below it, noise dominates. */
const MIN_LATENCY_MS = 5;

/** Applies one event. Routing has no effects on the I/O layer. */
export function reduceRouting(
  state: RoutingState,
  event: RoutingEvent,
  nowMs: number,
): Reduction<RoutingState, never> {
  switch (event.type) {
    case "MemberPublished":
      return createReduction(putMember(state, event.announcement, nowMs));
    case "MemberLost":
      return createReduction(removeMember(state, event, nowMs));
    case "MembersListed":
      return createReduction(replaceMembers(state, event, nowMs));
    case "AttemptStarted":
      return createReduction(
        updateView(state, event, (view) => recordAttemptStart(view, nowMs)),
      );
    case "AttemptFinished":
      return createReduction(applyReport(state, event.report, nowMs));
  }
}

function putMember(
  state: RoutingState,
  announcement: Announcement,
  nowMs: number,
): RoutingState {
  const service = state.services.get(announcement.service);
  const current = service?.members.get(announcement.nodeId);
  if (!isNewerAnnouncement(announcement, current)) {
    return state;
  }
  const previous = service ?? EMPTY_SERVICE_VIEW;
  const members = setEntry(previous.members, announcement.nodeId, announcement);
  const next = { ...previous, members };
  return refreshSubset(
    state,
    { name: announcement.service, service: next },
    nowMs,
  );
}

function removeMember(
  state: RoutingState,
  lost: { readonly service: string; readonly nodeId: string },
  nowMs: number,
): RoutingState {
  const service = state.services.get(lost.service);
  if (service === undefined) {
    return state;
  }
  const members = deleteEntry(service.members, lost.nodeId);
  const change = { name: lost.service, service: { ...service, members } };
  return refreshSubset(state, change, nowMs);
}

/** Replaces the members by a list, but keeps announcements that are newer. */
function replaceMembers(
  state: RoutingState,
  listed: {
    readonly service: string;
    readonly members: readonly Announcement[];
  },
  nowMs: number,
): RoutingState {
  const current = state.services.get(listed.service);
  const previous = current ?? EMPTY_SERVICE_VIEW;
  const members = new Map(listed.members.map((member) => {
    const known = previous.members.get(member.nodeId);
    const isNewer = isNewerAnnouncement(member, known);
    return [member.nodeId, isNewer ? member : known!];
  }));
  const next = { ...previous, members };
  const isFirstList = current === undefined;
  const change = { name: listed.service, service: next, isFirstList };
  return refreshSubset(state, change, nowMs);
}

/**
 * Chooses the subset and creates views for its new members. The ramp of a new
 * member begins now, whatever its clock; but a member of the first list may
 * have been running for long, so its ramp begins at its incarnation, which
 * is the wall clock at its start.
 */
function refreshSubset(
  state: RoutingState,
  change: ServiceChange,
  nowMs: number,
): RoutingState {
  const { name, service, isFirstList = false } = change;
  const available = [...service.members.values()].filter((member) =>
    !member.isDraining &&
    service.drainSeen.get(member.nodeId) !== member.incarnation
  );
  const known = new Map(
    service.views.map((view) => [view.announcement.nodeId, view]),
  );
  const views = chooseSubset(available, state.client).map((member) => {
    const rampStartMs = isFirstList
      ? Math.min(nowMs, member.incarnation)
      : nowMs;
    return refreshView(known.get(member.nodeId), member, rampStartMs);
  });
  return setService(state, name, { ...service, views });
}

function refreshView(
  view: BackendView | undefined,
  member: Announcement,
  rampStartMs: number,
): BackendView {
  const isSame = view?.announcement.incarnation === member.incarnation;
  return view !== undefined && isSame
    ? { ...view, announcement: member }
    : createView(member, rampStartMs);
}

function applyReport(
  state: RoutingState,
  report: AttemptReport,
  nowMs: number,
): RoutingState {
  const { service: name, nodeId } = report;
  const previous = state.services.get(name);
  if (previous === undefined) {
    return state;
  }
  const service = updateBaseline(previous, report);
  const index = findViewIndex(service, nodeId);
  const recorded = index < 0
    ? service
    : recordResult(service, index, report, nowMs);
  const member = recorded.members.get(nodeId);
  if (!report.isDraining || member === undefined) {
    return setService(state, name, recorded);
  }
  if (recorded.drainSeen.get(nodeId) === member.incarnation) {
    return setService(state, name, recorded);
  }
  const drainSeen = setEntry(recorded.drainSeen, nodeId, member.incarnation);
  const change = { name, service: { ...recorded, drainSeen } };
  return refreshSubset(state, change, nowMs);
}

function recordResult(
  service: ServiceView,
  index: number,
  report: AttemptReport,
  nowMs: number,
): ServiceView {
  const baselineMs = service.baselineMs.get(report.kind) ?? report.latencyMs;
  const ratio = Math.max(report.latencyMs, MIN_LATENCY_MS) /
    Math.max(baselineMs, MIN_LATENCY_MS);
  const ended = { report, ratio };
  const views = service.views.with(
    index,
    recordAttemptEnd(service.views[index]!, ended, nowMs),
  );
  return { ...service, ...evaluateView(views, index, nowMs) };
}

/** Updates the baseline of a kind; only answered attempts are samples. */
function updateBaseline(
  service: ServiceView,
  report: AttemptReport,
): ServiceView {
  if (report.result !== "answered") {
    return service;
  }
  const { kind, latencyMs } = report;
  const currentMs = service.baselineMs.get(kind);
  const sampleMs = Math.min(
    latencyMs,
    MAX_BASELINE_SAMPLE_RATIO * (currentMs ?? latencyMs) + 1,
  );
  const nextMs = currentMs === undefined
    ? sampleMs
    : currentMs + BASELINE_GAIN * (sampleMs - currentMs);
  if (
    currentMs !== undefined &&
    Math.abs(nextMs - currentMs) < MIN_BASELINE_CHANGE_RATIO * currentMs
  ) {
    return service;
  }
  const baselineMs = setEntry(service.baselineMs, kind, nextMs);
  return {
    ...service,
    baselineMs,
    maxBaselineMs: Math.max(...baselineMs.values()),
  };
}

function updateView(
  state: RoutingState,
  target: { readonly service: string; readonly nodeId: string },
  update: (view: BackendView) => BackendView,
): RoutingState {
  const service = state.services.get(target.service);
  const index = service === undefined
    ? -1
    : findViewIndex(service, target.nodeId);
  if (service === undefined || index < 0) {
    return state;
  }
  const views = service.views.with(index, update(service.views[index]!));
  return setService(state, target.service, { ...service, views });
}

function findViewIndex(service: ServiceView, nodeId: string): number {
  return service.views.findIndex((view) => view.announcement.nodeId === nodeId);
}

function setService(
  state: RoutingState,
  name: string,
  service: ServiceView,
): RoutingState {
  return { ...state, services: setEntry(state.services, name, service) };
}

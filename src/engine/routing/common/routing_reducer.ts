/** Steps the node's view of the backend servers that it calls. */
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

/** What happens to the view. */
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
  /** Whether these are the first members that are known. */
  readonly isFirstList?: boolean;
}

/** Weight of a sample in the usual time of a kind. */
const BASELINE_GAIN = 0.05;
/** A sample moves the usual time as if at most this many times as long. */
const MAX_BASELINE_SAMPLE_RATIO = 3;
/** Smaller moves of the usual time aren't worth a copy for each call. */
const MIN_BASELINE_CHANGE_RATIO = 0.01;
/** Least time that a ratio is taken of: below it, all noise is the same. */
const MIN_LATENCY_MS = 5;

/** Steps the view. Routing asks nothing of the I/O layer. */
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
  const before = service ?? EMPTY_SERVICE_VIEW;
  const members = setEntry(before.members, announcement.nodeId, announcement);
  const next = { ...before, members };
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

/** A list replaces what is known, but for what is older than it. */
function replaceMembers(
  state: RoutingState,
  listed: {
    readonly service: string;
    readonly members: readonly Announcement[];
  },
  nowMs: number,
): RoutingState {
  const known = state.services.get(listed.service);
  const before = known ?? EMPTY_SERVICE_VIEW;
  const members = new Map(listed.members.map((member) => {
    const current = before.members.get(member.nodeId);
    const isNewer = isNewerAnnouncement(member, current);
    return [member.nodeId, isNewer ? member : current!];
  }));
  const next = { ...before, members };
  const isFirst = known === undefined;
  const change = { name: listed.service, service: next, isFirst };
  return refreshSubset(state, change, nowMs);
}

/**
 * Chooses the subset anew. Members of the first list are as old as they say;
 * later ones have just come, whatever their clock.
 */
function refreshSubset(
  state: RoutingState,
  change: ServiceChange,
  nowMs: number,
): RoutingState {
  const { name, service, isFirstList: isFirst = false } = change;
  const takers = [...service.members.values()].filter((member) =>
    !member.isDraining &&
    service.drainSeen.get(member.nodeId) !== member.incarnation
  );
  const known = new Map(
    service.views.map((view) => [view.announcement.nodeId, view]),
  );
  const views = chooseSubset(takers, state.client).map((member) => {
    const rampFromMs = isFirst ? Math.min(nowMs, member.incarnation) : nowMs;
    return refreshView(known.get(member.nodeId), member, rampFromMs);
  });
  return setService(state, name, { ...service, views });
}

function refreshView(
  view: BackendView | undefined,
  member: Announcement,
  rampFromMs: number,
): BackendView {
  const isSame = view?.announcement.incarnation === member.incarnation;
  return view !== undefined && isSame
    ? { ...view, announcement: member }
    : createView(member, rampFromMs);
}

function applyReport(
  state: RoutingState,
  report: AttemptReport,
  nowMs: number,
): RoutingState {
  const { service: name, nodeId } = report;
  const before = state.services.get(name);
  if (before === undefined) {
    return state;
  }
  const service = updateBaseline(before, report);
  const index = findViewIndex(service, nodeId);
  const settled = index < 0
    ? service
    : recordResult(service, index, report, nowMs);
  const member = settled.members.get(nodeId);
  if (!report.isDraining || member === undefined) {
    return setService(state, name, settled);
  }
  if (settled.drainSeen.get(nodeId) === member.incarnation) {
    return setService(state, name, settled);
  }
  const drainSeen = setEntry(settled.drainSeen, nodeId, member.incarnation);
  const change = { name, service: { ...settled, drainSeen } };
  return refreshSubset(state, change, nowMs);
}

function recordResult(
  service: ServiceView,
  index: number,
  report: AttemptReport,
  nowMs: number,
): ServiceView {
  const usual = service.baselineMs.get(report.kind) ?? report.latencyMs;
  const ratio = Math.max(report.latencyMs, MIN_LATENCY_MS) /
    Math.max(usual, MIN_LATENCY_MS);
  const seen = { report, ratio };
  const noted = service.views.with(
    index,
    recordAttemptEnd(service.views[index]!, seen, nowMs),
  );
  return { ...service, ...evaluateView(noted, index, nowMs) };
}

/** Moves the usual time of a kind; only whole answers tell it. */
function updateBaseline(
  service: ServiceView,
  report: AttemptReport,
): ServiceView {
  if (report.result !== "answered") {
    return service;
  }
  const { kind, latencyMs } = report;
  const usual = service.baselineMs.get(kind);
  const sample = Math.min(
    latencyMs,
    MAX_BASELINE_SAMPLE_RATIO * (usual ?? latencyMs) + 1,
  );
  const next = usual === undefined
    ? sample
    : usual + BASELINE_GAIN * (sample - usual);
  if (
    usual !== undefined &&
    Math.abs(next - usual) < MIN_BASELINE_CHANGE_RATIO * usual
  ) {
    return service;
  }
  const usualMs = setEntry(service.baselineMs, kind, next);
  return {
    ...service,
    baselineMs: usualMs,
    maxBaselineMs: Math.max(...usualMs.values()),
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

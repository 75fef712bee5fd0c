/** Which backend server runs a call: the node's own view of each. */
import { hashText } from "../../../base/common/hash.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import { isNewerAnnouncement } from "../../membership/common/announcement.ts";
import type { Announcement } from "../../membership/common/announcement.ts";

/** One backend server as this node sees it. */
export interface BackendView {
  readonly announcement: Announcement;
  /** Attempts of this node that are under way. */
  readonly inFlight: number;
  /** Moving average of the time of an attempt, in milliseconds. */
  readonly latencyMs: number;
  /** Said on an answer, before the announcement arrived. */
  readonly isDrainSeen: boolean;
}

/** Backend servers by node id, for each service that is called. */
export interface RoutingState {
  readonly services: ReadonlyMap<string, ReadonlyMap<string, BackendView>>;
}

/** How an attempt ended, for the view of its backend server. */
export interface AttemptReport {
  readonly service: string;
  readonly nodeId: string;
  readonly latencyMs: number;
  readonly result: "answered" | "refused" | "failed";
  readonly isDraining: boolean;
}

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

/** What a call asks of the choice. */
export interface RouteRequest {
  readonly service: string;
  readonly dataCentre: string;
  /** Seeds the choice, so that it replays. */
  readonly attemptId: string;
  /** Node ids that this call tried already. */
  readonly tried: readonly string[];
}

/** No service is known yet. */
export const INITIAL_ROUTING: RoutingState = { services: new Map() };

const LATENCY_GAIN = 0.2;

/** Steps the view. Routing asks nothing of the I/O layer. */
export function reduceRouting(
  state: RoutingState,
  event: RoutingEvent,
): Reduction<RoutingState, never> {
  switch (event.type) {
    case "MemberPublished":
      return createReduction(putMember(state, event.announcement));
    case "MemberLost":
      return createReduction(dropMember(state, event.service, event.nodeId));
    case "MembersListed":
      return createReduction(listService(state, event.service, event.members));
    case "AttemptStarted":
      return createReduction(
        updateView(state, event, (view) => ({
          ...view,
          inFlight: view.inFlight + 1,
        })),
      );
    case "AttemptFinished":
      return createReduction(
        updateView(
          state,
          event.report,
          (view) => applyReport(view, event.report),
        ),
      );
  }
}

/** Selects the less loaded of two backend servers drawn by hash. */
export function selectBackend(
  state: RoutingState,
  request: RouteRequest,
): BackendView | undefined {
  const candidates = findCandidates(state, request);
  if (candidates.length <= 1) {
    return candidates[0];
  }
  const first = hashText(request.attemptId, 1) % candidates.length;
  const step = 1 + hashText(request.attemptId, 2) % (candidates.length - 1);
  const second = (first + step) % candidates.length;
  const a = candidates[first]!;
  const b = candidates[second]!;
  return computeCost(a) <= computeCost(b) ? a : b;
}

/** Whether the members of `service` were ever listed. */
export function isServiceKnown(state: RoutingState, service: string): boolean {
  return state.services.has(service);
}

function findCandidates(
  state: RoutingState,
  request: RouteRequest,
): readonly BackendView[] {
  const views = [...(state.services.get(request.service)?.values() ?? [])]
    .filter((view) => !view.announcement.isDraining && !view.isDrainSeen)
    .filter((view) => !request.tried.includes(view.announcement.nodeId));
  const near = views.filter((view) =>
    view.announcement.dataCentre === request.dataCentre
  );
  return near.length > 0 ? near : views;
}

function computeCost(view: BackendView): number {
  const load = (view.inFlight + 1) / view.announcement.slots;
  return load * (view.latencyMs + 1);
}

function putMember(
  state: RoutingState,
  announcement: Announcement,
): RoutingState {
  const views = state.services.get(announcement.service) ?? new Map();
  const current: BackendView | undefined = views.get(announcement.nodeId);
  if (!isNewerAnnouncement(announcement, current?.announcement)) {
    return state;
  }
  const view: BackendView = {
    inFlight: 0,
    latencyMs: 0,
    ...current,
    announcement,
    isDrainSeen: false,
  };
  const next = setEntry(views, announcement.nodeId, view);
  return { services: setEntry(state.services, announcement.service, next) };
}

function dropMember(
  state: RoutingState,
  service: string,
  nodeId: string,
): RoutingState {
  const views = state.services.get(service);
  if (views === undefined) {
    return state;
  }
  const next = deleteEntry(views, nodeId);
  return { services: setEntry(state.services, service, next) };
}

function listService(
  state: RoutingState,
  service: string,
  members: readonly Announcement[],
): RoutingState {
  const listed = new Set(members.map((member) => member.nodeId));
  const views = state.services.get(service) ?? new Map();
  const kept = new Map([...views].filter(([id]) => listed.has(id)));
  const base = { services: setEntry(state.services, service, kept) };
  return members.reduce<RoutingState>(putMember, base);
}

function updateView(
  state: RoutingState,
  target: { readonly service: string; readonly nodeId: string },
  update: (view: BackendView) => BackendView,
): RoutingState {
  const views = state.services.get(target.service);
  const view = views?.get(target.nodeId);
  if (views === undefined || view === undefined) {
    return state;
  }
  const next = setEntry(views, target.nodeId, update(view));
  return { services: setEntry(state.services, target.service, next) };
}

function applyReport(view: BackendView, report: AttemptReport): BackendView {
  const latencyMs = report.result === "answered"
    ? view.latencyMs + LATENCY_GAIN * (report.latencyMs - view.latencyMs)
    : view.latencyMs;
  return {
    ...view,
    inFlight: Math.max(0, view.inFlight - 1),
    latencyMs,
    isDrainSeen: view.isDrainSeen || report.isDraining,
  };
}

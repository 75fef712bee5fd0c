/** Chooses the backend server of one attempt from the node's own view. */
import { hashText } from "../../../base/common/hash.ts";
import { computeCost, isSaturated } from "./backend_view.ts";
import type { BackendView } from "./backend_view.ts";
import { isProbeDue } from "./ejection.ts";
import type { RoutingState, ServiceView } from "./routing_state.ts";

/** What a call asks of the choice. */
export interface SelectionRequest {
  readonly service: string;
  /** Seeds the choice, so that it replays. */
  readonly attemptId: string;
  /** Node ids that this call tried already. */
  readonly tried: readonly string[];
  readonly nowMs: number;
}

/** One attempt in so many may be a probe of an ejected backend server. */
export const PROBE_INTERVAL = 16;
/** Fewer near candidates than this are joined by those of elsewhere. */
const MIN_NEAR_CANDIDATES = 2;
/**
 * Costs within this ratio are a tie, which the hinted load decides. So a load
 * endpoint that lies moves work only between backend servers whose cost, as
 * this node saw it, differs by less than this.
 */
export const TIE_RATIO = 1.1;
/**
 * A hint is forgotten when its backend server has answered nothing for so
 * long: one that gets no work, for its hint's sake, could never better it.
 */
export const HINT_TTL_MS = 2_000;

/** Selects the cheaper of two backend servers drawn by hash. */
export function selectBackend(
  state: RoutingState,
  request: SelectionRequest,
): BackendView | undefined {
  const service = state.services.get(request.service);
  if (service === undefined) {
    return undefined;
  }
  const untried = listUntried(service, request);
  const probe = findProbe(service, untried, request);
  if (probe !== undefined) {
    return probe;
  }
  const usable = untried.filter((view) => view.ejection === undefined);
  const candidates = service.isMostlyUnhealthy || usable.length === 0
    ? untried
    : usable;
  const preferred = listPreferred(candidates, state.client.dataCentre, request);
  return chooseCheaperOfTwo(preferred, service, request);
}

function listUntried(
  service: ServiceView,
  request: SelectionRequest,
): readonly BackendView[] {
  const { tried } = request;
  return tried.length === 0
    ? service.views
    : service.views.filter((view) => !tried.includes(view.announcement.nodeId));
}

function findProbe(
  service: ServiceView,
  views: readonly BackendView[],
  request: SelectionRequest,
): BackendView | undefined {
  if (!service.hasEjected) {
    return undefined;
  }
  if (hashText(request.attemptId, 3) % PROBE_INTERVAL !== 0) {
    return undefined;
  }
  return views.find((view) => isProbeDue(view, request.nowMs));
}

/** The own data centre while it has at least two that take work. */
function listPreferred(
  views: readonly BackendView[],
  dataCentre: string,
  request: SelectionRequest,
): readonly BackendView[] {
  const open = views.filter((view) => !isSaturated(view, request.nowMs));
  const near = open.filter((view) =>
    view.announcement.dataCentre === dataCentre
  );
  if (near.length >= MIN_NEAR_CANDIDATES) {
    return near;
  }
  return open.length > 0 ? open : views;
}

function chooseCheaperOfTwo(
  views: readonly BackendView[],
  service: ServiceView,
  request: SelectionRequest,
): BackendView | undefined {
  if (views.length <= 1) {
    return views[0];
  }
  const first = hashText(request.attemptId, 1) % views.length;
  const step = 1 + hashText(request.attemptId, 2) % (views.length - 1);
  const a = views[first]!;
  const b = views[(first + step) % views.length]!;
  const { maxBaselineMs: slowestUsualMs } = service;
  const costA = computeCost(a, slowestUsualMs, request.nowMs);
  const costB = computeCost(b, slowestUsualMs, request.nowMs);
  const isTie = costA <= costB * TIE_RATIO && costB <= costA * TIE_RATIO;
  const hintA = getFreshHint(a, request.nowMs);
  const hintB = getFreshHint(b, request.nowMs);
  if (isTie && hintA !== undefined && hintB !== undefined) {
    return hintA <= hintB ? a : b;
  }
  return costA <= costB ? a : b;
}

function getFreshHint(view: BackendView, nowMs: number): number | undefined {
  const isFresh = nowMs - view.updatedAtMs < HINT_TTL_MS;
  return isFresh ? view.hintedLoad : undefined;
}

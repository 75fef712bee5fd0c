/** Selects the backend server of one attempt by this node's own measurements. */
import { hashText } from "../../../base/common/hash.ts";
import { computeCost, isSaturated } from "./backend_view.ts";
import type { BackendView } from "./backend_view.ts";
import { isProbeDue } from "./ejection.ts";
import type { RoutingState, ServiceView } from "./routing_state.ts";

/** The attempt that a backend server is selected for. */
export interface SelectionRequest {
  readonly service: string;
  /** Seeds the random choices, so that a replay makes the same ones. */
  readonly attemptId: string;
  /** Node ids that earlier attempts of the call were sent to. */
  readonly tried: readonly string[];
  readonly nowMs: number;
}

/** One attempt in this many may probe an ejected backend server. */
export const PROBE_INTERVAL = 16;
/** With fewer candidates in the own data centre, those elsewhere are added. */
const MIN_NEAR_CANDIDATES = 2;
/**
 * Costs within this ratio are a tie, decided by the hinted load. A wrong hint
 * therefore moves work only between backend servers whose cost, as measured by
 * this node, differs by less than this.
 */
export const TIE_RATIO = 1.1;
/**
 * A hint expires this long after the last result from its backend server. A
 * hint that lasted longer could keep the backend server without work, and thus
 * without an answer that would correct the hint.
 */
export const HINT_TTL_MS = 2_000;

/**
 * Selects the cheaper of two backend servers drawn by hash. Undefined if the
 * service is unknown or every view was tried.
 */
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

/**
 * Lists the views with free slots in the own data centre if there are at least
 * two, else those with free slots anywhere, else all.
 */
function listPreferred(
  views: readonly BackendView[],
  dataCentre: string,
  request: SelectionRequest,
): readonly BackendView[] {
  const available = views.filter((view) => !isSaturated(view, request.nowMs));
  const near = available.filter((view) =>
    view.announcement.dataCentre === dataCentre
  );
  if (near.length >= MIN_NEAR_CANDIDATES) {
    return near;
  }
  return available.length > 0 ? available : views;
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
  const { maxBaselineMs } = service;
  const costA = computeCost(a, maxBaselineMs, request.nowMs);
  const costB = computeCost(b, maxBaselineMs, request.nowMs);
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

/** Brings the routes to the nodes: whole, as they change seldom. */
import { createReduction } from "../../../base/common/reduction.ts";
import { createSend, NEW_LINK, updateLink } from "./control_state.ts";
import type {
  ControlEffect,
  ControlState,
  ControlStep,
  Link,
} from "./control_state.ts";
import { REPAIR_MS } from "./table_push.ts";

/** Sends the routes to every node that wasn't sent this version. */
export function pushRoutes(state: ControlState, nowMs: number): ControlStep {
  const { version } = state.tableState.document.table;
  const due = [...state.links].filter(([, link]) =>
    link.nodeId !== undefined && link.sentRoutesVersion < version
  );
  if (due.length === 0) {
    return createReduction(state);
  }
  const links = new Map(state.links);
  const message = createUpdate(state);
  const effects = due.map(([linkId, link]): ControlEffect => {
    links.set(linkId, markSent(link, version, nowMs));
    return createSend(linkId, message);
  });
  return createReduction({ ...state, links }, effects);
}

/** Tells every node that takes routes that they are current. */
export function confirmRoutes(state: ControlState, nowMs: number): ControlStep {
  const links = new Map(
    [...state.links].map(([linkId, link]) =>
      [linkId, { ...link, sentRoutesVersion: 0 }] as const
    ),
  );
  return pushRoutes({ ...state, links }, nowMs);
}

/** Notes what a node holds, and sends again what it lacks for long. */
export function noteRoutes(
  state: ControlState,
  linkId: number,
  told: { readonly routesVersion: number | undefined; readonly nowMs: number },
): ControlStep {
  const { routesVersion, nowMs } = told;
  if (routesVersion === undefined) {
    return createReduction(state);
  }
  const { version } = state.tableState.document.table;
  const link = state.links.get(linkId) ?? NEW_LINK;
  const isSent = link.sentRoutesVersion >= version &&
    nowMs - link.sentRoutesAtMs < REPAIR_MS;
  if (routesVersion >= version || isSent) {
    return createReduction(updateLink(state, linkId, { routesVersion }));
  }
  const sent = { ...markSent(link, version, nowMs), routesVersion };
  return createReduction(updateLink(state, linkId, sent), [
    createSend(linkId, createUpdate(state)),
  ]);
}

function markSent(link: Link, version: number, nowMs: number): Link {
  return { ...link, sentRoutesVersion: version, sentRoutesAtMs: nowMs };
}

function createUpdate(state: ControlState) {
  const { table: routes } = state.tableState.document;
  const { isTableConfirmed: isConfirmed } = state;
  return { type: "RoutesUpdate", routes, isConfirmed } as const;
}

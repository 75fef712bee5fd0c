/**
 * Pushes the routes to the nodes; always all of them, as they change rarely.
 */
import { createReduction } from "../../../base/common/reduction.ts";
import { createSend, NEW_LINK, updateLink } from "./control_state.ts";
import type {
  ControlEffect,
  ControlState,
  ControlStep,
  Link,
} from "./control_state.ts";
import { ACK_TIMEOUT_MS } from "./table_push.ts";

/** Sends the routes to every node to which this version wasn't sent. */
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

/** Sends the routes to every node again, confirmed as current. */
export function confirmRoutes(state: ControlState, nowMs: number): ControlStep {
  const links = new Map(
    [...state.links].map(([linkId, link]) =>
      [linkId, { ...link, sentRoutesVersion: 0 }] as const
    ),
  );
  return pushRoutes({ ...state, links }, nowMs);
}

/**
 * Records the version of the routes that a node reports, if any, and resends
 * the routes if the node hasn't confirmed them in time.
 */
export function recordRoutesVersion(
  state: ControlState,
  linkId: number,
  confirmation: {
    readonly routesVersion: number | undefined;
    readonly nowMs: number;
  },
): ControlStep {
  const { routesVersion, nowMs } = confirmation;
  if (routesVersion === undefined) {
    return createReduction(state);
  }
  const { version } = state.tableState.document.table;
  const link = state.links.get(linkId) ?? NEW_LINK;
  const isSent = link.sentRoutesVersion >= version &&
    nowMs - link.sentRoutesAtMs < ACK_TIMEOUT_MS;
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

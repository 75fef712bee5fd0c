/** Random changes of the configurations of a soak test. */
import type { Random } from "../src/base/test/seeded_random.ts";
import {
  ADDED_PREFIXES,
  createSoakRoute,
  findRoute,
  MOVED_PREFIX,
  pick,
  SLOW_PREFIX,
  SPLIT_PREFIX,
  TYPED_PREFIX,
} from "./config_document.ts";
import type { SoakDocument, SoakRoute, SoakTarget } from "./config_document.ts";

const MAX_VERSION_STEP = 4;
const BULK_ROUTES = 60;
const QUICK_SERVICES = ["red", "blue", "green"];
const TIMEOUTS_MS = [400, 700, 1_100, 1_500];
const BODY_LIMITS = [2_000, 20_000, 60_000];
const HEADER_LIMITS = [4_000, 16_384];
const HEADER_TIMEOUTS_MS = [1_000, 2_000, 4_000];
const IDLE_TIMEOUTS_MS = [1_500, 3_000, 6_000, 20_000];
const WEIGHTS = [[90, 10, 0], [50, 50, 0], [20, 80, 0], [34, 33, 33]];

/**
 * Draws a configuration that builds on `base`: one to three changes, and a new
 * marker in place of the former one.
 */
export function drawNextDocument(
  random: Random,
  { base, marker, version }: {
    readonly base: SoakDocument;
    readonly marker: string;
    /** Drawn if absent. */
    readonly version?: number | undefined;
  },
): SoakDocument {
  const count = 1 + Math.floor(random() * 3);
  let changed = base;
  for (let n = 0; n < count; n += 1) {
    changed = pick(random, CHANGES)(random, changed);
  }
  const kept = changed.routes.filter(({ prefix }) => prefix !== base.marker);
  const service = pick(random, QUICK_SERVICES);
  const step = 1 + Math.floor(random() * MAX_VERSION_STEP);
  return {
    ...changed,
    base: base.version,
    version: version ?? base.version + step,
    marker,
    routes: [...kept, createSoakRoute(marker, [service])],
  };
}

type DrawChange = (random: Random, document: SoakDocument) => SoakDocument;

const CHANGES: readonly DrawChange[] = [
  addRoute,
  addRoute,
  removeRoute,
  moveRoute,
  moveRoute,
  splitRoute,
  changeWeights,
  changeTimeout,
  changeTyped,
  changeLimits,
  changeLimits,
  changeManyRoutes,
  addService,
];

function addRoute(random: Random, document: SoakDocument): SoakDocument {
  const prefix = pick(random, ADDED_PREFIXES);
  return findRoute(document, prefix) === undefined
    ? append(document, createSoakRoute(prefix, [pick(random, QUICK_SERVICES)]))
    : document;
}

function removeRoute(random: Random, document: SoakDocument): SoakDocument {
  const removed = pick(random, ADDED_PREFIXES);
  const routes = document.routes.filter(({ prefix }) => prefix !== removed);
  return { ...document, routes };
}

function moveRoute(random: Random, document: SoakDocument): SoakDocument {
  const prefix = pick(random, [MOVED_PREFIX, ...ADDED_PREFIXES]);
  const service = pick(random, QUICK_SERVICES);
  return changeRoute(document, prefix, { targets: [{ service, weight: 1 }] });
}

function splitRoute(random: Random, document: SoakDocument): SoakDocument {
  const prefix = pick(random, ADDED_PREFIXES);
  return changeRoute(document, prefix, { targets: drawSplit(random) });
}

function changeWeights(random: Random, document: SoakDocument): SoakDocument {
  return changeRoute(document, SPLIT_PREFIX, { targets: drawSplit(random) });
}

function drawSplit(random: Random): readonly SoakTarget[] {
  const weights = pick(random, WEIGHTS);
  return QUICK_SERVICES
    .map((service, index) => ({ service, weight: weights[index]! }))
    .filter(({ weight }) => weight > 0);
}

function changeTimeout(random: Random, document: SoakDocument): SoakDocument {
  const timeoutMs = pick(random, TIMEOUTS_MS);
  return changeRoute(document, SLOW_PREFIX, { timeoutMs });
}

function changeTyped(random: Random, document: SoakDocument): SoakDocument {
  return changeRoute(document, TYPED_PREFIX, {
    type: pick(random, ["idempotent", "non_idempotent", "upload"]),
    priority: Math.floor(random() * 4),
    attempts: 1 + Math.floor(random() * 3),
  });
}

function changeLimits(random: Random, document: SoakDocument): SoakDocument {
  const limits = {
    maxHeaderBytes: pick(random, HEADER_LIMITS),
    maxBodyBytes: pick(random, BODY_LIMITS),
    headerTimeoutMs: pick(random, HEADER_TIMEOUTS_MS),
    idleTimeoutMs: pick(random, IDLE_TIMEOUTS_MS),
  };
  return { ...document, limits };
}

/** Adds many routes at once, or removes them all. */
function changeManyRoutes(
  random: Random,
  document: SoakDocument,
): SoakDocument {
  const others = document.routes
    .filter(({ prefix }) => !prefix.startsWith("/bulk-"));
  const bulk = Array.from(
    { length: BULK_ROUTES },
    (_, n) => createSoakRoute(`/bulk-${n}/`, [pick(random, QUICK_SERVICES)]),
  );
  const hasBulk = others.length < document.routes.length;
  return { ...document, routes: hasBulk ? others : [...others, ...bulk] };
}

/** Adds a service without backend servers, and a route to it. */
function addService(_random: Random, document: SoakDocument): SoakDocument {
  const service = `extra-${document.services.length}`;
  return {
    ...append(document, createSoakRoute(`/${service}/`, [service])),
    services: [...document.services, service],
  };
}

function append(document: SoakDocument, route: SoakRoute): SoakDocument {
  return { ...document, routes: [...document.routes, route] };
}

function changeRoute(
  document: SoakDocument,
  prefix: string,
  change: Partial<SoakRoute>,
): SoakDocument {
  const routes = document.routes.map((route) =>
    route.prefix === prefix ? { ...route, ...change } : route
  );
  return { ...document, routes };
}

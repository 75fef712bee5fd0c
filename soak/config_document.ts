/** Configurations of a soak test, and random changes of them. */
import type { Random } from "../src/base/test/seeded_random.ts";
import { HOST } from "../platform/standin/configurations.ts";

/** A route, as tests vary it. */
export interface SoakRoute {
  readonly prefix: string;
  readonly type: string;
  readonly timeoutMs: number;
  readonly priority: number;
  readonly attempts: number;
  /** One service, or the parts of a split. */
  readonly targets: readonly SoakTarget[];
}

/** A part of a split. */
export interface SoakTarget {
  readonly service: string;
  readonly weight: number;
}

/** Limits on what callers may send and how long they may take. */
export interface SoakLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A complete configuration. */
export interface SoakDocument {
  readonly base: number;
  readonly version: number;
  /** Prefix of the route that only this configuration has. */
  readonly marker: string;
  readonly routes: readonly SoakRoute[];
  readonly services: readonly string[];
  readonly limits: SoakLimits;
}

/** Services with backend servers; the last one is slower than any time limit. */
export const SERVED_SERVICES = ["red", "blue", "green", "slow"] as const;
export const MOVED_PREFIX = "/move/";
export const SPLIT_PREFIX = "/split/";
export const SLOW_PREFIX = "/slow/";
export const TYPED_PREFIX = "/type/";
/** Prefixes of routes that are added and removed. */
export const ADDED_PREFIXES = Array.from({ length: 6 }, (_, n) => `/dyn-${n}/`);

const FIRST_VERSION = 5;
const MAX_VERSION_STEP = 4;
const BULK_ROUTES = 60;
const DEFAULT_TIMEOUT_MS = 1_000;
const QUICK_SERVICES = ["red", "blue", "green"];
const TIMEOUTS_MS = [400, 700, 1_100, 1_500];
const BODY_LIMITS = [2_000, 20_000, 60_000];
const HEADER_LIMITS = [4_000, 16_384];
const HEADER_TIMEOUTS_MS = [1_000, 2_000, 4_000];
const IDLE_TIMEOUTS_MS = [1_500, 3_000, 6_000, 20_000];
const WEIGHTS = [[90, 10, 0], [50, 50, 0], [20, 80, 0], [34, 33, 33]];

/** Draws one of several values. */
export function pick<T>(random: Random, values: readonly T[]): T {
  return values[Math.floor(random() * values.length)]!;
}

/** Creates the first configuration. */
export function createFirstDocument(): SoakDocument {
  return {
    base: 0,
    version: FIRST_VERSION,
    marker: "/only-0/",
    routes: [
      createSoakRoute(MOVED_PREFIX, ["red"]),
      createSoakRoute(SPLIT_PREFIX, ["red", "blue"], [50, 50]),
      { ...createSoakRoute(SLOW_PREFIX, ["slow"]), timeoutMs: 700 },
      createSoakRoute(TYPED_PREFIX, ["blue"]),
      createSoakRoute("/only-0/", ["red"]),
    ],
    services: ["front", ...SERVED_SERVICES],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 20_000,
      headerTimeoutMs: 2_000,
      idleTimeoutMs: 3_000,
    },
  };
}

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

/** Finds the route of a path; undefined if the configuration has none. */
export function findRoute(
  { routes }: SoakDocument,
  path: string,
): SoakRoute | undefined {
  return routes.find(({ prefix }) => path.startsWith(prefix));
}

/** Formats a configuration as operators send it. */
export function formatDocument(document: SoakDocument): string {
  return JSON.stringify(createResources(document));
}

/** Creates the value whose JSON text operators send. */
export function createResources(
  { version, routes, services, limits }: SoakDocument,
) {
  return {
    version: formatVersion(version),
    resources: [
      ...routes.map(createRouteResource),
      ...services.map((name) => ({
        type: "services",
        meta: { name },
        spec: {
          healthPath: "/health",
          maxConns: 64,
          protocol: "h1",
          tls: false,
        },
      })),
      { type: "limits", meta: {}, spec: limits },
    ],
  };
}

/** Formats a version as eight hexadecimal digits. */
export function formatVersion(version: number): string {
  return version.toString(16).padStart(8, "0");
}

function createSoakRoute(
  prefix: string,
  services: readonly string[],
  weights: readonly number[] = [1],
): SoakRoute {
  return {
    prefix,
    type: "idempotent",
    timeoutMs: DEFAULT_TIMEOUT_MS,
    priority: 0,
    attempts: 2,
    targets: services
      .map((service, index) => ({ service, weight: weights[index]! })),
  };
}

function createRouteResource({ prefix, targets, ...route }: SoakRoute) {
  return {
    type: "routes",
    meta: { name: `r${prefix.replaceAll("/", "-")}` },
    spec: {
      host: HOST,
      pathPrefix: prefix,
      routeType: route.type,
      timeoutMs: route.timeoutMs,
      sloMs: 500,
      priority: route.priority,
      attempts: route.attempts,
      ...targets.length === 1
        ? { service: targets[0]!.service }
        : { trafficSplit: targets },
    },
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

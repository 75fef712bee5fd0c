/** Configurations of a soak test. */
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
const DEFAULT_TIMEOUT_MS = 1_000;

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

/** Creates a route to one service, or to several ones by weight. */
export function createSoakRoute(
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

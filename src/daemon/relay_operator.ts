/** The operator listener of a relay node: status, timeline and metrics. */
import { parseAddress } from "../base/node/listen.ts";
import type {
  BackendNotice,
  LoadFigures,
} from "../engine/mesh/common/frames.ts";
import type { BudgetCounts } from "../engine/relay/common/entry_budget.ts";
import type { LocalBackend } from "../engine/relay/common/local_backend.ts";
import type { WorkspaceShare } from "../engine/workspaces/common/quota_shares.ts";
import { OperatorServer } from "./operator_server.ts";
import type { OperatorRoute } from "./operator_server.ts";
import type { RelaySettings } from "./relay_settings.ts";
import type { Telemetry } from "./telemetry.ts";

/** The backend server of a node, with its address as `ip:port`. */
export type BackendStatus = Omit<LocalBackend, "address"> & {
  readonly address: string;
};

/** Current status of a relay node, as in the body of `GET /status`. */
export interface RelayStatus {
  readonly isReady: boolean;
  readonly isDraining: boolean;
  /** 0 before the first routes. */
  readonly routesVersion: number;
  /**
   * Time since a replica proved that these routes are the newest, in
   * milliseconds; since the start if none has.
   */
  readonly routesAgeMs: number;
  readonly backend: BackendStatus | undefined;
  /** What the backend server says of itself; undefined if nothing is known. */
  readonly notice: BackendNotice | undefined;
  /** Calls that its rate limit allows now; undefined without one. */
  readonly tokens: number | undefined;
  readonly load: LoadFigures;
  /** Number of calls of this node's callers without a final answer. */
  readonly openCalls: number;
  /** Number of nodes, of all services, that calls may be sent to. */
  readonly members: number;
  /** Whether requests with keys are served, which needs a valid key lease. */
  readonly servesKeys: boolean;
  /**
   * Workspaces over their quota, with the share of requests that is admitted.
   */
  readonly limitedWorkspaces: readonly WorkspaceShare[];
}

type ReadStatus = () => RelayStatus;

/** Counts the attempts of this node per service in the retry budget window. */
type CountByService = () => ReadonlyMap<string, BudgetCounts>;

type BudgetGauge = readonly [
  name: string,
  description: string,
  count: (counts: BudgetCounts) => number,
];

const BUDGET_GAUGES: readonly BudgetGauge[] = [
  [
    "retry_window_firsts",
    "First attempts of this node in the window of the retry budget",
    ({ firsts }) => firsts,
  ],
  [
    "retry_window_inherited",
    "Part of the first attempts that repeated runs made",
    ({ inherited }) => inherited,
  ],
  [
    "retry_window_retries",
    "Retries of this node in the window of the retry budget",
    ({ retries }) => retries,
  ],
];

/** Creates the operator listener and registers the gauges of the node. */
export function createRelayOperator(
  settings: RelaySettings,
  { metrics, timeline }: Telemetry,
  readStatus: ReadStatus,
  countByService: CountByService,
): OperatorServer {
  for (const [name, description, count] of BUDGET_GAUGES) {
    metrics.addLabelledGauge(name, {
      description,
      label: "service",
      read: () =>
        [...countByService()].map(([service, counts]) =>
          [service, count(counts)] as const
        ),
    });
  }
  metrics.addLabelledGauge("backend_rate_limit", {
    description: "Requests a second that the backend server says it takes",
    label: "instance",
    read: () => listRateLimits(readStatus()),
  });
  metrics.addLabelledGauge("backend_tokens", {
    description: "Calls that this limit allows to be handed over at once",
    label: "instance",
    read: () => {
      const { notice, tokens } = readStatus();
      return notice === undefined || tokens === undefined
        ? []
        : [[notice.instance, tokens]];
    },
  });
  metrics.addLabelledGauge("backend_slowdown", {
    description: "How long work takes at the backend server, 1 as usual",
    label: "service",
    read: () => listByService(readStatus(), ({ slowdown }) => slowdown),
  });
  metrics.addLabelledGauge("backend_usual_ms", {
    description: "Usual service time of a backend server with a slowdown",
    label: "service",
    read: () =>
      listByService(
        readStatus(),
        ({ slowdown, serviceMs }) =>
          slowdown === undefined ? undefined : serviceMs,
      ),
  });
  for (const [name, description, read] of STATUS_GAUGES) {
    metrics.addGauge(name, description, () => read(readStatus()));
  }
  const { id, dataCentre } = settings;
  const routes = new Map<string, OperatorRoute>([
    ["GET /livez", () => ({ status: 200, body: { isAlive: true } })],
    ["GET /readyz", () => {
      const { isReady } = readStatus();
      return { status: isReady ? 200 : 503, body: { isReady } };
    }],
    ["GET /status", () => ({
      status: 200,
      body: { role: "node", id, dataCentre, ...readStatus() },
    })],
    ["GET /timeline", () => ({ status: 200, body: timeline.list() })],
  ]);
  return new OperatorServer({
    address: parseAddress(settings.operator)!,
    security: { tls: undefined, credentials: undefined },
    routes,
    answerScrape: (request, response) =>
      metrics.answerScrape(request, response),
  });
}

/** Lists the named limit by process instance; empty if none is named. */
function listRateLimits(
  { notice }: RelayStatus,
): readonly (readonly [string, number])[] {
  return notice?.requestsPerSecond === undefined
    ? []
    : [[notice.instance, notice.requestsPerSecond]];
}

/** Lists a figure of the own backend server; empty if it isn't known. */
function listByService(
  { load, backend }: RelayStatus,
  getFigure: (load: LoadFigures) => number | undefined,
): readonly (readonly [string, number])[] {
  const figure = getFigure(load);
  return figure === undefined || backend === undefined
    ? []
    : [[backend.service, figure]];
}

type StatusGauge = readonly [
  name: string,
  description: string,
  read: (status: RelayStatus) => number,
];

/** Shown where the gate doesn't measure its capacity over the demand. */
const MAX_SPARE = 4;

const STATUS_GAUGES: readonly StatusGauge[] = [
  [
    "ready",
    "1 where callers may be sent here",
    (status) => Number(status.isReady),
  ],
  [
    "routes_version",
    "Version of the routes in force",
    (status) => status.routesVersion,
  ],
  [
    "routes_age_ms",
    "Time since the routes in force were confirmed as the newest",
    (status) => status.routesAgeMs,
  ],
  ["open_calls", "Calls of this node's callers without a final answer", (
    status,
  ) => status.openCalls],
  [
    "backend_running",
    "Calls that run at the backend server",
    ({ load }) => load.running,
  ],
  [
    "backend_queued",
    "Calls that wait for the backend server",
    ({ load }) => load.queued,
  ],
  [
    "backend_limit",
    "Calls that run at a time where it gets all it takes; 0 if it takes none",
    ({
      load,
    }) => load.limit,
  ],
  ["backend_pressure", "Part of roots to refuse for this backend server", ({
    load,
  }) => load.pressure],
  [
    "backend_spare_capacity",
    "Capacity over the slot time that roots ask for; 4 at most, or unmeasured",
    ({ load }) => load.spare ?? MAX_SPARE,
  ],
  [
    "keys_served",
    "1 where requests by keys are served: their lease holds",
    ({ servesKeys }) => Number(servesKeys),
  ],
  [
    "limited_workspaces",
    "Workspaces of which not all requests are let in",
    ({ limitedWorkspaces }) => limitedWorkspaces.length,
  ],
  ["members", "Nodes that calls may be sent to", ({ members }) => members],
];

/** Logs which routes a relay node puts in force, and which it sets aside. */
import type { RelayLog } from "../engine/relay/common/relay_log.ts";
import type { RouteTable } from "../engine/routes/common/route_table.ts";

/** Routes that a control replica sent. */
export interface ReceivedRoutes {
  readonly routes: RouteTable;
  /** Whether the replica had proved that its routes are current. */
  readonly isConfirmed: boolean;
  /** Address of the replica's link. */
  readonly replica: string;
}

/** Options of the log of the routes at a node. */
export interface RelayRoutesLogOptions {
  readonly log: RelayLog;
  /** Counts a version that was put in force. */
  readonly countVersion: () => void;
  /** Steady clock in milliseconds. */
  readonly readClock: () => number;
}

/** Pairs of replica and version whose lines are remembered, to write each once. */
const MAX_SET_ASIDE = 256;

/** Writes the lines on routes, and measures the age of those in force. */
export class RelayRoutesLog {
  readonly #options: RelayRoutesLogOptions;
  readonly #startedAtMs: number;
  /** Replica, version and reason of each line on routes that were set aside. */
  readonly #setAside = new Set<string>();
  #routes: RouteTable | undefined;
  #confirmedAtMs: number | undefined;

  constructor(options: RelayRoutesLogOptions) {
    this.#options = options;
    this.#startedAtMs = options.readClock();
  }

  /**
   * Time since a replica that had proved its routes current last named the
   * version in force, in milliseconds; since the start before the first time.
   */
  get ageMs(): number {
    return this.#options.readClock() -
      (this.#confirmedAtMs ?? this.#startedAtMs);
  }

  /** The version in force and its age, for lines on links to replicas. */
  createFields(): Readonly<Record<string, unknown>> {
    return {
      routesVersion: this.#routes?.version,
      routesAgeMs: Math.round(this.ageMs),
    };
  }

  /** Records that received routes are put in force. */
  recordInForce(received: ReceivedRoutes): void {
    const { routes, isConfirmed, replica } = received;
    this.#options.countVersion();
    this.#options.log.write({
      event: "RoutesInForce",
      isFailure: false,
      version: routes.version,
      before: this.#routes?.version,
      isConfirmed,
      replica,
      digest: routes.digest,
      routes: routes.routes.length,
      ageMs: Math.round(this.ageMs),
      sinceStartMs: this.#getSinceStartMs(),
    });
    this.#routes = routes;
    this.#confirmedAtMs = undefined;
    this.#recordIfConfirmed(received);
  }

  /** Records that received routes are not put in force. */
  recordIgnored(received: ReceivedRoutes): void {
    const reason = this.#explainIgnored(received.routes);
    if (reason === undefined) {
      this.#recordIfConfirmed(received);
      return;
    }
    const { routes, isConfirmed, replica } = received;
    const key = `${replica} ${routes.version} ${reason}`;
    if (this.#setAside.has(key)) {
      return;
    }
    if (this.#setAside.size >= MAX_SET_ASIDE) {
      this.#setAside.clear();
    }
    this.#setAside.add(key);
    this.#options.log.write({
      event: "RoutesSetAside",
      isFailure: true,
      reason,
      version: routes.version,
      inForce: this.#routes?.version,
      isConfirmed,
      replica,
      digest: routes.digest,
      ageMs: Math.round(this.ageMs),
      sinceStartMs: this.#getSinceStartMs(),
    });
  }

  /** Records that a replica has proved that this version is the newest. */
  recordProof(version: number): void {
    if (version === this.#routes?.version) {
      this.#confirmedAtMs = this.#options.readClock();
    }
  }

  #recordIfConfirmed({ routes, isConfirmed }: ReceivedRoutes): void {
    if (isConfirmed) {
      this.recordProof(routes.version);
    }
  }

  /** Explains why routes are ignored; undefined if they are those in force. */
  #explainIgnored({ version, digest }: RouteTable): string | undefined {
    const inForce = this.#routes;
    if (inForce === undefined || version > inForce.version) {
      return "unconfirmed";
    }
    if (version < inForce.version) {
      return "older";
    }
    return digest === inForce.digest ? undefined : "other text";
  }

  #getSinceStartMs(): number {
    return Math.round(this.#options.readClock() - this.#startedAtMs);
  }
}

/**
 * Runs many light nodes in one process. A light node has a real link to control
 * and a real table, but serves no calls.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import type {
  ControlMessage,
  NodeMessage,
} from "../src/engine/link/common/link_messages.ts";
import { readControlMessage } from "../src/engine/link/common/node_inbox.ts";
import { LinkClient } from "../src/engine/link/node/link_client.ts";
import type { LinkTraffic } from "../src/engine/link/node/link_client.ts";
import type { Announcement } from "../src/engine/membership/common/announcement.ts";
import { EMPTY_TABLE } from "../src/engine/table/common/table_row.ts";
import type { Table } from "../src/engine/table/common/table_row.ts";

/** A request of the benchmark to a process of light nodes. */
export type LightRequest =
  | {
    readonly type: "Start";
    /** Numbers of the nodes to start. */
    readonly numbers: readonly number[];
    /** Link addresses of the control replicas. */
    readonly replicas: readonly string[];
  }
  | { readonly type: "Read" }
  /** Every node announces a change. */
  | { readonly type: "Announce" };

/** Answer to each `LightRequest`: totals since the start of the process. */
export interface LightReport {
  readonly traffic: LinkTraffic;
  /** Processor time since the start, in milliseconds. */
  readonly cpuMs: number;
  /** Table version, and epoch milliseconds when a node had it in force. */
  readonly inForceAtMs: readonly (readonly [number, number])[];
}

/** Nodes of one service: 12,000 nodes in 390 services. */
const NODES_PER_SERVICE = 31;
/** Services whose members a node subscribes to. */
const SUBSCRIBED_SERVICES = 4;
const MICROS_PER_MS = 1_000;

/** A node with a link to control and a table, without backend server. */
class LightNode {
  readonly #link: LinkClient<ControlMessage, NodeMessage>;
  readonly #inForceAtMs: (readonly [number, number])[];
  #announcement: Announcement;
  #table: Table = EMPTY_TABLE;
  #linkNumber = 0;

  constructor(
    number: number,
    replicas: readonly string[],
    inForceAtMs: (readonly [number, number])[],
  ) {
    this.#inForceAtMs = inForceAtMs;
    this.#announcement = createAnnouncement(number);
    const nearest = number % replicas.length;
    this.#link = new LinkClient<ControlMessage, NodeMessage>({
      id: this.#announcement.nodeId,
      replicas: [...replicas.slice(nearest), ...replicas.slice(0, nearest)],
      onMessage: (message) => this.#receive(message),
      onOpen: (_replica, linkNumber) =>
        this.#sendFirstMessages(number, linkNumber),
      onClose: () => {},
      readConfirmed: () => undefined,
      createHeartbeat: () => this.#createHeartbeat(),
      clock: {
        read: () => ({ wallMs: Date.now(), counter: 0 }),
        observe: () => {},
      },
    });
    this.#link.open();
  }

  get traffic(): LinkTraffic {
    return this.#link.readTraffic();
  }

  announce(): void {
    const sequence = this.#announcement.sequence + 1;
    this.#announcement = { ...this.#announcement, sequence };
    this.#sendAnnouncement();
  }

  #sendFirstMessages(number: number, linkNumber: number): void {
    this.#linkNumber = linkNumber;
    this.#sendAnnouncement();
    const firstService = Math.floor(number / NODES_PER_SERVICE);
    for (let index = 0; index < SUBSCRIBED_SERVICES; index++) {
      const service = `service-${firstService + index}`;
      this.#link.send({ type: "Subscribe", service });
    }
  }

  #sendAnnouncement(): void {
    this.#link.send({
      type: "Announce",
      announcement: this.#announcement,
      linkNumber: this.#linkNumber,
      tableVersion: this.#table.version,
    });
  }

  #receive(message: ControlMessage): void {
    const { events, reply } = readControlMessage(message, {
      table: this.#table,
      isServiceKnown: () => false,
    });
    for (const event of events) {
      if (
        event.type === "TableReceived" &&
        event.table.version > this.#table.version
      ) {
        this.#table = event.table;
        this.#inForceAtMs.push([event.table.version, readEpochMs()]);
        this.#link.send(this.#createHeartbeat());
      }
    }
    if (reply !== undefined) {
      this.#link.send(reply);
    }
  }

  #createHeartbeat(): NodeMessage {
    return { type: "Heartbeat", tableVersion: this.#table.version };
  }
}

function createAnnouncement(number: number): Announcement {
  return {
    nodeId: `light-${number}`,
    incarnation: Date.now(),
    sequence: 0,
    service: `service-${Math.floor(number / NODES_PER_SERVICE)}`,
    dataCentre: "kenitra-a",
    region: "ma-north",
    vm: `light-${number}`,
    ingress: "127.0.0.1:7000",
    operator: "127.0.0.1:7001",
    slots: 50,
    connections: 400,
    isDraining: false,
  };
}

function readEpochMs(): number {
  return performance.timeOrigin + performance.now();
}

const nodes: LightNode[] = [];
const inForceAtMs: (readonly [number, number])[] = [];

function createReport(): LightReport {
  const sum = (pick: (traffic: LinkTraffic) => number) =>
    nodes.reduce((total, node) => total + pick(node.traffic), 0);
  const { user, system } = process.cpuUsage();
  return {
    traffic: {
      sentBytes: sum((traffic) => traffic.sentBytes),
      sentCount: sum((traffic) => traffic.sentCount),
      receivedBytes: sum((traffic) => traffic.receivedBytes),
      receivedCount: sum((traffic) => traffic.receivedCount),
    },
    cpuMs: (user + system) / MICROS_PER_MS,
    inForceAtMs: [...inForceAtMs],
  };
}

process.on("message", (request: LightRequest) => {
  switch (request.type) {
    case "Start":
      for (const number of request.numbers) {
        nodes.push(new LightNode(number, request.replicas, inForceAtMs));
      }
      break;
    case "Announce":
      nodes.forEach((node) => node.announce());
      break;
    case "Read":
      break;
  }
  process.send!(createReport());
});
process.on("disconnect", () => process.exit(0));

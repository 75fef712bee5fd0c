/**
 * Operators of a soak test: they change and read configurations, each time at a
 * replica of their own choice.
 */
import { connect } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/base/test/seeded_random.ts";
import { listAnswers } from "../standin/scripted_caller.ts";
import { drawNextDocument } from "./config_changes.ts";
import {
  createFirstDocument,
  formatDocument,
  formatVersion,
  pick,
} from "./config_document.ts";
import type { SoakDocument } from "./config_document.ts";
import { drawInvalid } from "./config_invalid.ts";

/** One sending of an order; times by the monotonic clock. */
export interface OrderAttempt {
  /** `host:port` of the replica. */
  readonly replica: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Undefined if no answer came, or was waited for. */
  readonly status: number | undefined;
  /** Whether all of the text was sent. */
  readonly isWhole: boolean;
}

/** A configuration that an operator sent, any number of times. */
export interface ConfigOrder {
  readonly document: SoakDocument;
  readonly text: string;
  /** What is wrong with it; undefined for a valid one. */
  readonly invalid: string | undefined;
  /** In the order in which they ended. */
  readonly attempts: OrderAttempt[];
}

/** One read of the configuration; times by the monotonic clock. */
export interface ConfigRead {
  readonly replica: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly status: number | undefined;
  readonly text: string;
}

/** Parameters of the operators. */
export interface OperatorsOptions {
  /** `host:port` of the replicas. */
  readonly replicas: readonly string[];
  /** Called at the first acknowledgement of an order. */
  readonly onAcknowledged: (replica: string) => void;
}

const MAX_ANSWER_WAIT_MS = 1_000;
const MAX_READ_WAIT_MS = 6_000;
const MAX_ATTEMPTS = 9;
const MAX_BACKOFF_MS = 800;
const MAX_PAUSE_MS = 1_200;
const MAX_RESEND_DELAY_MS = 3_000;
const READ_INTERVAL_MS = 120;
/** Shares of what an operator does next; the rest are single valid orders. */
const INVALID_RATIO = 0.2;
const RACE_RATIO = 0.25;
const EQUAL_VERSION_RATIO = 0.5;
/** Shares of orders that are disturbed or sent again. */
const CUT_RATIO = 0.12;
const ABANDON_RATIO = 0.4;
const LOST_ANSWER_RATIO = 0.15;
const RESEND_RATIO = 0.5;

/** Returns whether a status ends an order for good. */
export function isRefusal(status: number | undefined): boolean {
  return status !== undefined && status >= 400 && status < 500 &&
    status !== 408 && status !== 429;
}

/** Sends orders and reads, and records them. */
export class ConfigOperators {
  readonly orders: ConfigOrder[] = [];
  readonly reads: ConfigRead[] = [];
  readonly #options: OperatorsOptions;
  #nextMarker = 1;
  readonly #resends = new Set<Promise<void>>();

  constructor(options: OperatorsOptions) {
    this.#options = options;
  }

  /** Sends the first configuration until a replica accepts it. */
  async sendFirst(random: Random): Promise<void> {
    const document = createFirstDocument();
    const order = this.#add(document, formatDocument(document), undefined);
    while (!await this.#deliver(order, random, false)) {
      await sleep(READ_INTERVAL_MS);
    }
  }

  /** Sends a valid change until it is acknowledged; false if it was not. */
  async sendLast(random: Random): Promise<boolean> {
    const base = await this.#readBase(random);
    return base !== undefined &&
      await this.#deliver(this.#addNext(random, base), random, false);
  }

  /** Sends orders until stopped. */
  async orderUntilStopped(
    random: Random,
    isStopped: () => boolean,
  ): Promise<void> {
    while (!isStopped()) {
      const base = await this.#readBase(random);
      if (base !== undefined) {
        await this.#sendDrawn(random, base);
      }
      await sleep(random() * MAX_PAUSE_MS);
    }
    await Promise.all(this.#resends);
  }

  /** Reads the configuration at every replica in turn until stopped. */
  async readUntilStopped(isStopped: () => boolean): Promise<void> {
    const open = new Set<Promise<unknown>>();
    for (let n = 0; !isStopped(); n += 1) {
      const { replicas } = this.#options;
      const reading = this.read(replicas[n % replicas.length]!)
        .finally(() => open.delete(reading));
      open.add(reading);
      await sleep(READ_INTERVAL_MS);
    }
    await Promise.all(open);
  }

  /** Reads the configuration at one replica. */
  async read(replica: string): Promise<ConfigRead> {
    const sentAtMs = performance.now();
    const head = `GET /Config.Get HTTP/1.1\r\nHost: ${replica}\r\n\r\n`;
    const answer = await exchange(replica, head, MAX_READ_WAIT_MS);
    const read = {
      replica,
      sentAtMs,
      endedAtMs: performance.now(),
      status: answer?.status,
      text: answer?.body ?? "",
    };
    this.reads.push(read);
    return read;
  }

  async #readBase(random: Random): Promise<SoakDocument | undefined> {
    const { status, text } = await this.read(
      pick(random, this.#options.replicas),
    );
    return status === 200
      ? this.orders.find((order) => order.text === text)?.document
      : undefined;
  }

  async #sendDrawn(random: Random, base: SoakDocument): Promise<void> {
    const kind = random();
    if (kind < INVALID_RATIO) {
      const document = this.#drawNext(random, base);
      const { kind: invalid, text } = drawInvalid(random, document);
      await this.#deliver(this.#add(document, text, invalid), random, false);
    } else if (kind < INVALID_RATIO + RACE_RATIO) {
      const first = this.#addNext(random, base);
      const isEqual = random() < EQUAL_VERSION_RATIO;
      const version = isEqual ? first.document.version : undefined;
      const second = this.#addNext(random, base, version);
      await Promise.all([
        this.#deliver(first, random),
        this.#deliver(second, random),
      ]);
    } else {
      await this.#deliver(this.#addNext(random, base), random);
    }
  }

  #drawNext(
    random: Random,
    base: SoakDocument,
    version?: number,
  ): SoakDocument {
    const marker = `/only-${this.#nextMarker++}/`;
    return drawNextDocument(random, { base, marker, version });
  }

  #addNext(
    random: Random,
    base: SoakDocument,
    version?: number,
  ): ConfigOrder {
    const document = this.#drawNext(random, base, version);
    return this.#add(document, formatDocument(document), undefined);
  }

  #add(
    document: SoakDocument,
    text: string,
    invalid: string | undefined,
  ): ConfigOrder {
    const order = { document, text, invalid, attempts: [] };
    this.orders.push(order);
    return order;
  }

  /**
   * Sends an order unchanged, each time to any replica, until the answer is
   * clear; returns whether it was acknowledged.
   */
  async #deliver(
    order: ConfigOrder,
    random: Random,
    isDisturbed = true,
  ): Promise<boolean> {
    if (isDisturbed && random() < CUT_RATIO) {
      await this.#send(order, random, "cut");
      if (random() < ABANDON_RATIO) {
        return false;
      }
    }
    if (isDisturbed && random() < LOST_ANSWER_RATIO) {
      await this.#send(order, random, "lost");
    }
    for (let n = 0; n < MAX_ATTEMPTS; n += 1) {
      const { replica, status } = await this.#send(order, random, "whole");
      if (status === 200) {
        this.#options.onAcknowledged(replica);
        if (isDisturbed && random() < RESEND_RATIO) {
          this.#resendLater(order, random);
        }
        return true;
      }
      if (isRefusal(status)) {
        return false;
      }
      await sleep(Math.min(MAX_BACKOFF_MS, 50 * 2 ** n));
    }
    return false;
  }

  /** Sends an acknowledged order again: at once, or after a time. */
  #resendLater(order: ConfigOrder, random: Random): void {
    const delayMs = random() < 0.5 ? 0 : random() * MAX_RESEND_DELAY_MS;
    const resending = sleep(delayMs)
      .then(() => this.#send(order, random, "whole"))
      .then(() => {})
      .finally(() => this.#resends.delete(resending));
    this.#resends.add(resending);
  }

  async #send(
    order: ConfigOrder,
    random: Random,
    mode: "whole" | "cut" | "lost",
  ): Promise<OrderAttempt> {
    const { text, document, attempts } = order;
    const replica = pick(random, this.#options.replicas);
    const head = `POST /Config.Replace HTTP/1.1\r\nHost: ${replica}\r\n` +
      `Base-Version: ${formatVersion(document.base)}\r\n` +
      "Content-Type: application/json\r\n" +
      `Content-Length: ${Buffer.byteLength(text)}\r\n\r\n`;
    const sent = mode === "cut"
      ? text.slice(0, Math.floor(random() * text.length))
      : text;
    const sentAtMs = performance.now();
    const waitMs = mode === "whole" ? MAX_ANSWER_WAIT_MS : 20 * random();
    const answer = await exchange(replica, head + sent, waitMs);
    const attempt = {
      replica,
      sentAtMs,
      endedAtMs: performance.now(),
      status: answer?.status,
      isWhole: mode !== "cut",
    };
    attempts.push(attempt);
    return attempt;
  }
}

/** Sends bytes on a new connection; undefined if no complete answer comes. */
function exchange(
  address: string,
  text: string,
  waitMs: number,
): Promise<{ readonly status: number; readonly body: string } | undefined> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    const chunks: Uint8Array[] = [];
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve(listAnswers(Buffer.concat(chunks).toString("latin1"))[0]);
    };
    const timer = setTimeout(finish, waitMs);
    socket.on("data", (data: Buffer) => {
      chunks.push(data);
      const received = Buffer.concat(chunks).toString("latin1");
      if (listAnswers(received).length > 0) {
        finish();
      }
    });
    socket.on("error", finish);
    socket.on("close", finish);
    socket.write(text);
  });
}

/** The listener for callers: what it makes of their requests. */
import { expect } from "chai";
import { request } from "undici";
import { findPort } from "../../../../standin/ports.ts";
import type { Route } from "../../routes/common/route_table.ts";
import type { CallOrigin } from "../common/call_graph.ts";
import type { CallDialect } from "../common/dialect.ts";
import type { EntryRequest, EntryResult } from "../common/entry_types.ts";
import { CallerServer } from "../node/caller_server.ts";

const DIALECT: CallDialect = {
  readTerms: () => ({ requestId: "r", patienceMs: 5_000 }),
  createCallHeaders: () => [],
  createBackendHeaders: ({ headers }) => headers,
  judgeAnswer: () => ({ type: "Answered" }),
  createAnswerHeaders: () => [],
  readLoad: () => undefined,
};
const ROUTE: Route = {
  name: "lookup",
  host: "127.0.0.1",
  prefix: "/",
  targets: [{ service: "warehouse", weight: 1 }],
  isIdempotent: true,
  timeoutMs: 5_000,
  objectiveMs: 500,
  rank: 2,
  maxAttempts: 1,
};
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
const REFUSED: EntryResult = {
  type: "Failed",
  failure: { type: "Refused", retryAfterMs: 100 },
};

/** A listener whose calls stay open until they are ended. */
class Callers implements AsyncDisposable {
  readonly started: EntryRequest[] = [];
  readonly ends: (() => void)[] = [];
  origin: CallOrigin = { isNested: false, rank: undefined };
  readonly url: string;
  readonly server: CallerServer;

  constructor(port: number) {
    this.url = `http://127.0.0.1:${port}/`;
    this.server = new CallerServer({
      address: { host: "127.0.0.1", port },
      dialect: DIALECT,
      startCall: (entry, _service, onResult) => {
        this.started.push(entry);
        this.ends.push(() => onResult(REFUSED));
        return () => {};
      },
      observeCall: () => this.origin,
      getCallerService: () => "front",
      readClock: () => performance.now(),
      draw: () => 0.5,
      log: { write: () => {} },
    });
    const table = { version: 1, routes: [ROUTE], limits: LIMITS };
    this.server.replaceRoutes(table);
  }

  static async open(): Promise<Callers> {
    const callers = new Callers(await findPort());
    await callers.server.open();
    return callers;
  }

  /** Sends a request; the status of its answer. */
  async send(bodyBytes = 0): Promise<number> {
    const { statusCode, body } = await request(this.url, {
      method: "POST",
      body: Buffer.alloc(bodyBytes),
    });
    await body.dump();
    return statusCode;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.ends.forEach((end) => end());
    await this.server[Symbol.asyncDispose]();
  }
}

describe("the listener for callers", () => {
  it("gives a backend server's call the rank of its root", async () => {
    await using callers = await Callers.open();
    const caller = callers.send();
    await waitFor(() => callers.started.length === 1);
    callers.origin = { isNested: true, rank: 0 };
    const nested = callers.send();
    await waitFor(() => callers.started.length === 2);
    callers.origin = { isNested: true, rank: undefined };
    const orphan = callers.send();
    await waitFor(() => callers.started.length === 3);
    expect(callers.started.map(({ rank }) => rank)).to.deep.equal([2, 0, 2]);
    callers.ends.forEach((end) => end());
    expect(await Promise.all([caller, nested, orphan]))
      .to.deep.equal([503, 503, 503]);
  });

  it("refuses bodies beyond what it may hold, and takes them after", async () => {
    await using callers = await Callers.open();
    const megabytes = 1_048_576;
    const held = callers.send(40 * megabytes);
    await waitFor(() => callers.started.length === 1);
    expect(await callers.send(20 * megabytes)).to.equal(503);
    expect(callers.started).to.have.length(1);
    callers.ends[0]!();
    expect(await held).to.equal(503);
    const later = callers.send(20 * megabytes);
    await waitFor(() => callers.started.length === 2);
    callers.ends[1]!();
    expect(await later).to.equal(503);
  });
});

async function waitFor(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Which requests run, are queued and are refused at one backend server. */
import { expect } from "chai";
import fc from "fast-check";
import { hashText } from "../../../base/common/hash.ts";
import { computeCapacity } from "../common/admission_capacity.ts";
import { computeAdmissionHash } from "../common/admission_level.ts";
import type { AdmissionRequest } from "../common/admission_types.ts";
import { RAMP_MS } from "../common/ramp.ts";
import {
  createLoad,
  createRequest,
  createRow,
  SingleServer,
} from "./single_server.ts";

const LOOKUP = createRow();
const TRANSFER = createRow({ kind: "transfer", importance: 9 });

describe("admission", () => {
  it("refuses no transfer while a lookup runs from the queue after it", () => {
    const server = new SingleServer(10);
    server.serviceMs = () => 20;
    // Capacity: 0.5 requests per ms. Transfers alone are 1.2 times that.
    const queuedAt = new Map<string, number>();
    const draw = (n: number) => {
      const row = n % 10 < 3 ? TRANSFER : LOOKUP;
      queuedAt.set(`${row.kind}-${n}`, server.nowMs);
      return createRequest(`${row.kind}-${n}`, row);
    };
    server.pass(3_000, createLoad(server, 2, draw));
    const lookupRuns = server.recorded.filter(({ effect }) =>
      effect.type === "RunRequest" && effect.attemptId.startsWith("lookup")
    );
    const inverted = server.recorded.filter(({ effect, atMs }) =>
      effect.type === "RefuseRequest" &&
      effect.attemptId.startsWith("transfer") &&
      lookupRuns.some((run) =>
        run.atMs > atMs && queuedAt.get(run.effect.attemptId)! < atMs
      )
    );
    const refusedTransfers = [...server.refused.keys()].filter((id) =>
      id.startsWith("transfer")
    );
    expect(inverted).to.deep.equal([]);
    expect(refusedTransfers.length).to.be.greaterThan(0);
  });

  it("refuses no transfer at 4 times the load where they fit", () => {
    const server = new SingleServer(10);
    server.serviceMs = () => 20;
    const draw = (n: number) => {
      const row = n % 10 === 0 ? TRANSFER : LOOKUP;
      return createRequest(`${row.kind}-${n}`, row);
    };
    server.pass(3_000, createLoad(server, 2, draw));
    const refused = [...server.refused.keys()];
    expect(refused.filter((id) => id.startsWith("transfer"))).to.be.empty;
    expect(refused.length).to.be.greaterThan(1_000);
    // The backend server is always busy, at 0.5 requests per ms.
    expect(server.run.length).to.be.greaterThan(0.95 * 1_500);
  });

  it("refuses few of the arrivals at random at just the capacity", () => {
    const server = new SingleServer(4);
    server.serviceMs = () => 64;
    const row = createRow({ timeoutMs: 2_000 });
    // 4 / 64 requests per ms on average, drawn independently for each ms.
    let sent = 0;
    server.pass(10_000, (nowMs) => {
      if (hashText(`arrival-${nowMs}`) < 2 ** 32 / 16) {
        server.arrive(createRequest(`lookup-${sent++}`, row));
      }
    });
    expect(sent).to.be.within(600, 650);
    expect(server.refused.size / sent).to.be.lessThan(0.05);
    // The queue was never long, so that entry nodes need not refuse requests.
    expect(server.state.level.position).to.equal(0);
    expect([...server.refused.values()]).not.to.include("level");
  });

  it("answers a displaced request in the step that displaces it", () => {
    const server = new SingleServer(1);
    for (let n = 0; n < 5; n += 1) {
      server.arrive(createRequest(`lookup-${n}`, LOOKUP));
    }
    const effects = server.arrive(createRequest("transfer", TRANSFER));
    expect(effects).to.have.length(1);
    expect(effects[0]).to.include({
      type: "RefuseRequest",
      reason: "displaced",
    });
    expect(server.finish("lookup-0")).to.deep.equal([
      { type: "RunRequest", attemptId: "transfer" },
    ]);
  });

  it("runs all that is more important first", () => {
    const server = new SingleServer(1);
    const light = { ...TRANSFER, weight: 0.1 };
    server.arrive(createRequest("first", LOOKUP));
    for (let n = 0; n < 2; n += 1) {
      server.arrive(createRequest(`lookup-${n}`, LOOKUP));
      server.arrive(createRequest(`transfer-${n}`, light));
    }
    while (server.state.running.size > 0) {
      server.finish(server.run.at(-1)!);
    }
    const kinds = server.run.slice(1).map((id) => id.split("-")[0]);
    expect(kinds).to.deep.equal(["transfer", "transfer", "lookup", "lookup"]);
  });

  it("refuses the least important request first when waits are long", () => {
    const server = new SingleServer(1);
    server.arrive(createRequest("stuck", LOOKUP));
    server.arrive(createRequest("transfer", TRANSFER));
    server.arrive(createRequest("lookup", LOOKUP));
    server.nowMs += 300;
    const effects = server.send({ type: "Ticked" });
    expect(effects.map((effect) => effect.attemptId)).to.deep.equal(["lookup"]);
  });

  it("lets a downstream call wait longer than a root request", () => {
    const server = new SingleServer(1);
    server.arrive(createRequest("first", LOOKUP));
    server.nowMs += 20;
    server.finish("first");
    server.arrive(createRequest("stuck", LOOKUP));
    for (const depth of [0, 1]) {
      server.arrive(createRequest(`depth-${depth}`, LOOKUP, { depth }));
    }
    server.nowMs += 200;
    const cut = server.send({ type: "Ticked" });
    expect(cut.map((effect) => effect.attemptId)).to.deep.equal(["depth-0"]);
    server.nowMs += 100;
    const later = server.send({ type: "Ticked" });
    expect(later.map((effect) => effect.attemptId)).to.deep.equal(["depth-1"]);
  });

  it("lets the queue of a full row wait while the server has capacity", () => {
    const server = new SingleServer(4);
    const narrow = createRow({ kind: "narrow", concurrency: 1, queue: 2 });
    server.arrive(createRequest("runs", narrow));
    server.arrive(createRequest("waits", narrow));
    server.nowMs += 600;
    expect(server.send({ type: "Ticked" })).to.be.empty;
    server.finish("runs");
    expect(server.run).to.deep.equal(["runs", "waits"]);
  });

  it("prefers higher hashes, which are the same in each service", () => {
    const server = new SingleServer(1);
    server.arrive(createRequest("first", LOOKUP));
    for (const admissionHash of [5, 9, 7]) {
      const id = `hash-${admissionHash}`;
      server.arrive(createRequest(id, LOOKUP, { admissionHash }));
    }
    server.finish("first");
    server.finish("hash-9");
    expect(server.run).to.deep.equal(["first", "hash-9", "hash-7"]);
  });

  it("prefers greater depth where importance and hash are equal", () => {
    const server = new SingleServer(1);
    server.arrive(createRequest("first", LOOKUP));
    for (const depth of [1, 4, 2]) {
      const id = `depth-${depth}`;
      server.arrive(createRequest(id, LOOKUP, { depth, admissionHash: 7 }));
    }
    server.finish("first");
    server.finish("depth-4");
    expect(server.run).to.deep.equal(["first", "depth-4", "depth-2"]);
  });

  it("shares the backend server by weight inside one importance", () => {
    const server = new SingleServer(10);
    server.serviceMs = () => 20;
    const rows = [
      createRow({ kind: "heavy", weight: 3 }),
      createRow({ kind: "light", weight: 1 }),
    ];
    const draw = (n: number) => {
      const row = rows[n % 2]!;
      const key = `${row.kind}-${n}`;
      const share = row.weight / 3;
      const admissionHash = computeAdmissionHash({ key, share, nowMs: 0 });
      return createRequest(key, row, { admissionHash });
    };
    server.pass(4_000, createLoad(server, 2, draw));
    const heavy = server.run.filter((id) => id.startsWith("heavy")).length;
    expect(heavy / server.run.length).to.be.within(0.7, 0.8);
  });

  it("serves the kinds in the queue by weight", () => {
    const server = new SingleServer(12);
    const rows = [
      createRow({ kind: "light", weight: 1 }),
      createRow({ kind: "heavy", weight: 3 }),
    ];
    server.pass(
      12,
      createLoad(server, 1, (n) => {
        return createRequest(`first-${n}`, createRow({ kind: "first" }));
      }),
    );
    for (const row of rows) {
      for (let n = 0; n < 6; n += 1) {
        server.arrive(createRequest(`${row.kind}-${n}`, row));
      }
    }
    for (let n = 0; n < 8; n += 1) {
      server.finish(`first-${n}`);
    }
    const turns = server.run.slice(12).map((id) => id.split("-")[0]);
    expect(turns.filter((kind) => kind === "heavy")).to.have.length(6);
    expect(turns.slice(0, 4)).to.include("light");
  });

  it("refuses what can't meet its deadline, on arrival and in the queue", () => {
    const server = new SingleServer(2);
    for (let n = 0; n < 10; n += 1) {
      server.arrive(createRequest(`warm-${n}`, LOOKUP));
      server.nowMs += 100;
      server.finish(`warm-${n}`);
    }
    const { nowMs } = server;
    server.arrive(createRequest("running", LOOKUP));
    server.arrive(createRequest("running-2", LOOKUP));
    server.arrive(createRequest("late", LOOKUP, { deadlineMs: nowMs + 99 }));
    expect(server.refused.get("late")).to.equal("deadline");
    server.arrive(createRequest("waits", LOOKUP, { deadlineMs: nowMs + 150 }));
    server.arrive(createRequest("turn", LOOKUP, { deadlineMs: nowMs + 260 }));
    expect(server.refused.has("waits")).to.equal(false);
    server.nowMs = nowMs + 60;
    server.send({ type: "Ticked" });
    expect(server.refused.get("waits")).to.equal("deadline");
    server.nowMs = nowMs + 200;
    server.finish("running");
    expect(server.refused.get("turn")).to.equal("deadline");
  });

  it("runs one request of a kind that is expected to miss its deadline", () => {
    const server = new SingleServer(2);
    server.arrive(createRequest("slow", LOOKUP));
    server.nowMs += 5_000;
    server.finish("slow");
    const deadlineMs = server.nowMs + 1_000;
    server.arrive(createRequest("probe", LOOKUP, { deadlineMs }));
    expect(server.run).to.include("probe");
  });

  it("keeps the wait short in a queue that never empties", () => {
    const server = new SingleServer(2);
    server.serviceMs = () => 20;
    server.arrive(createRequest("stuck", createRow({ kind: "batch" })));
    server.pass(
      2_000,
      createLoad(server, 0.5, (n) => {
        const row = n % 2 === 0 ? LOOKUP : createRow({ kind: "other" });
        return createRequest(`${n}`, row);
      }),
    );
    const { queue } = server.state;
    const oldest = Math.min(...queue.map((request) => request.queuedAtMs));
    // At most 4 per slot; the other slot runs them in one service time each.
    expect(queue.length).to.be.within(1, 8);
    expect(server.nowMs - oldest).to.be.at.most(200);
    expect([...server.refused.values()]).to.include("queue_wait");
  });

  it("enforces the rate, the concurrency and the queue limit of a row", () => {
    const server = new SingleServer(100);
    const rated = createRow({ kind: "rated", rate: 100 });
    server.serviceMs = () => 1;
    server.pass(
      2_000,
      createLoad(server, 0.5, (n) => {
        return createRequest(`rated-${n}`, rated);
      }),
    );
    expect(server.run.length).to.be.within(200, 230);
    expect(server.refused.get("rated-999")).to.equal("rate");
    server.serviceMs = () => undefined;
    const narrow = createRow({ kind: "narrow", concurrency: 2, queue: 1 });
    for (let n = 0; n < 5; n += 1) {
      server.arrive(createRequest(`narrow-${n}`, narrow));
    }
    const ran = server.run.filter((id) => id.startsWith("narrow"));
    const refused = [...server.refused.keys()].filter((id) =>
      id.startsWith("narrow")
    );
    expect(ran).to.deep.equal(["narrow-0", "narrow-1"]);
    expect(refused).to.have.length(2);
  });

  it("ramps up after the start, and after an outage", () => {
    const server = new SingleServer(100, true);
    const capacities = () => computeCapacity(server.state, server.nowMs);
    expect(capacities()).to.equal(10);
    server.pass(RAMP_MS / 2);
    expect(capacities()).to.be.within(50, 60);
    server.pass(RAMP_MS / 2);
    expect(capacities()).to.equal(100);
    for (let n = 0; n < 5; n += 1) {
      server.arrive(createRequest(`down-${n}`, LOOKUP));
      server.finish(`down-${n}`, "failed");
    }
    server.arrive(createRequest("back", LOOKUP));
    server.finish("back");
    expect(capacities()).to.equal(10);
  });

  it("sheds the same roots in two services of a chain", () => {
    const shed = ["provenance", "custody"].map((service) => {
      const server = new SingleServer(5);
      server.serviceMs = () => 20;
      const row = createRow({ kind: service, service });
      server.pass(
        500,
        createLoad(server, 1, (n) => {
          return createRequest(`${service}-${n}`, row, {
            admissionHash: ((n * 2_654_435_761) % 1_000) * 4_294_967,
          });
        }),
      );
      const ids = server.run.slice(50).map((id) => Number(id.split("-")[1]));
      return new Set(ids);
    });
    const both = [...shed[0]!].filter((n) => shed[1]!.has(n));
    expect(both.length / shed[0]!.size).to.be.greaterThan(0.9);
    // The requests that run are those with the upper hashes.
    const upper = both.filter((n) => (n * 2_654_435_761) % 1_000 > 600);
    expect(upper.length / both.length).to.be.greaterThan(0.9);
  });

  it("raises a level under overload and has none soon after it", () => {
    const server = new SingleServer(10);
    server.serviceMs = () => 20;
    const draw = (n: number) => createRequest(`lookup-${n}`, LOOKUP);
    server.pass(2_000, createLoad(server, 2, draw));
    expect(server.state.level.position).to.be.within(3.2, 4);
    expect([...server.refused.values()]).to.include("level");
    const after = (n: number) => createRequest(`after-${n}`, LOOKUP);
    server.pass(1_500, createLoad(server, 0.3, after));
    expect(server.state.level.position).to.equal(0);
  });

  it("decides on each request exactly once, and retains no state", () => {
    const importance = fc.integer({ min: 0, max: 9 });
    const arrival = fc.record({
      type: fc.constant("arrive" as const),
      importance,
      kind: fc.constantFrom("a", "b", "c"),
      leftMs: fc.integer({ min: -10, max: 500 }),
      depth: fc.integer({ min: 0, max: 3 }),
    });
    const other = fc.record({
      type: fc.constantFrom(
        "answered" as const,
        "failed" as const,
        "cancelled" as const,
        "withdraw" as const,
        "tick" as const,
      ),
      pick: fc.nat(),
    });
    const step = fc.tuple(
      fc.oneof({ weight: 3, arbitrary: arrival }, other),
      fc.integer({ min: 0, max: 80 }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 150 }), (steps) => {
        const server = new SingleServer(3, true);
        const decisions = new Map<string, string>();
        const withdrawn = new Set<string>();
        let count = 0;
        const arrive = (request: AdmissionRequest) => {
          decisions.set(request.attemptId, "none");
          server.arrive(request);
        };
        for (const [action, passMs] of steps) {
          server.nowMs += passMs;
          if (action.type === "arrive") {
            const { kind, depth } = action;
            const row = createRow({ kind, concurrency: 2, queue: 3, rate: 50 });
            arrive(createRequest(`r-${count++}`, row, {
              importance: action.importance,
              depth,
              deadlineMs: server.nowMs + action.leftMs,
            }));
          } else if (action.type === "tick") {
            server.send({ type: "Ticked" });
          } else if (action.type === "withdraw") {
            const { queue } = server.state;
            const attemptId = queue[action.pick % queue.length]?.attemptId;
            if (attemptId !== undefined) {
              withdrawn.add(attemptId);
              server.send({ type: "RequestWithdrawn", attemptId });
            }
          } else {
            const ids = [...server.state.running.keys()];
            const attemptId = ids[action.pick % ids.length];
            if (attemptId !== undefined) {
              server.finish(attemptId, action.type);
            }
          }
        }
        server.nowMs += 60_000;
        while (server.state.running.size > 0) {
          server.finish([...server.state.running.keys()][0]!);
        }
        server.send({ type: "Ticked" });
        const decided = server.recorded.map(({ effect }) => effect.attemptId);
        expect(new Set(decided).size).to.equal(decided.length);
        for (const id of decisions.keys()) {
          expect(decided.includes(id) !== withdrawn.has(id), id).to.equal(true);
        }
        expect(server.state.queue).to.be.empty;
        server.nowMs += 700_000;
        server.send({ type: "Ticked" });
        expect(server.state.kinds.size).to.equal(0);
      }),
      { numRuns: 200 },
    );
  });
});

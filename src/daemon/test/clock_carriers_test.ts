/** The process clock is carried by calls, answers, peer messages and links. */
import { expect } from "chai";
import { request } from "undici";
import { parseAddress } from "../../base/node/listen.ts";
import type { NodeEvent } from "../../engine/call/common/call_events.ts";
import { CallServer } from "../../engine/call/node/call_server.ts";
import { LinkClient } from "../../engine/link/node/link_client.ts";
import { LinkServer } from "../../engine/link/node/link_server.ts";
import { PeerClient } from "../../engine/peer/node/peer_client.ts";
import {
  checkClock,
  CLOCK_HEADER,
  decodeClock,
} from "../../engine/telemetry/common/process_clock.ts";
import type { ProcessClock } from "../../engine/telemetry/common/process_clock.ts";
import { Timeline } from "../../engine/telemetry/common/timeline.ts";
import type { HybridTime } from "../../engine/telemetry/common/timeline_event.ts";
import { findAddress } from "../../../standin/ports.ts";

const NOW_MS = 1_700_000_000_000;
const AHEAD: HybridTime = { wallMs: NOW_MS + 120_000, counter: 4 };
const BEHIND: HybridTime = { wallMs: NOW_MS - 120_000, counter: 0 };
const CONTEXT = {
  rootId: "r",
  attemptId: "r.1",
  importance: 5,
  admissionHash: 1,
  depth: 0,
  remainingMs: 1_000,
  retryTokens: 0,
};

/** Creates a clock that stays at a time until it observes a later one. */
function createClock(at: HybridTime): ProcessClock {
  const timeline = new Timeline({ process: "p", dataCentre: "hall-a" });
  timeline.observeClock(at, NOW_MS);
  return {
    read: () => timeline.clock,
    observe: (received) => {
      const clock = decodeClock(received) ?? checkClock(received);
      if (clock !== undefined) {
        timeline.observeClock(clock, NOW_MS);
      }
    },
  };
}

interface OpenedCallServer {
  readonly calls: CallServer;
  readonly edge: string;
  readonly ingress: string;
}

async function openCallServer(
  clock: ProcessClock,
  receive: (event: NodeEvent, calls: CallServer) => void,
): Promise<OpenedCallServer> {
  const [edge, egress, ingress] = await Promise.all([
    findAddress(),
    findAddress(),
    findAddress(),
  ]);
  const calls: CallServer = new CallServer({
    listeners: {
      edge: parseAddress(edge)!,
      egress: parseAddress(egress)!,
      ingress: parseAddress(ingress)!,
    },
    dispatch: (event) => receive(event, calls),
    loop: { lagMs: 0, runAfterPendingReads: (run) => run() },
    recordConnection: () => {},
    firstRequests: { queuedMs: 0, enqueue: (run) => run() },
    connections: 2,
    clock,
  });
  await calls.open();
  return { calls, edge, ingress };
}

/** Answers calls and peer messages as a node would. */
function openServing(clock: ProcessClock): Promise<OpenedCallServer> {
  return openCallServer(clock, (event, calls) => {
    if (event.type === "CallReceived") {
      const { exchangeId } = event;
      calls.perform({
        type: "AnswerCall",
        exchangeId,
        status: 200,
        headers: {},
        message: "",
      });
    } else if (event.type === "PeerAsked") {
      const { askId } = event;
      const reply = { type: "ClaimGranted" } as const;
      calls.perform({ type: "AnswerPeer", askId, reply });
    }
  });
}

/** Forwards each call to another node. */
function openEntry(
  clock: ProcessClock,
  address: string,
): Promise<OpenedCallServer> {
  return openCallServer(clock, (event, calls) => {
    if (event.type === "CallReceived") {
      const { exchangeId } = event;
      calls.perform({
        type: "SendAttempt",
        exchangeId,
        attemptId: exchangeId,
        address,
        peer: "node",
        context: CONTEXT,
        maxBodyBytes: 0,
      });
    } else if (event.type === "AttemptAnswered") {
      const { attemptId } = event;
      const exchangeId = attemptId;
      calls.perform({
        type: "RelayAnswer",
        exchangeId,
        attemptId,
        headers: {},
      });
    }
  });
}

describe("clocks between processes", () => {
  for (
    const [name, near, far] of [
      ["on calls", AHEAD, BEHIND],
      ["on answers", BEHIND, AHEAD],
    ] as const
  ) {
    it(`ride ${name} between nodes, but not to callers`, async () => {
      const clocks = [createClock(near), createClock(far)] as const;
      const serving = await openServing(clocks[1]);
      await using _serving = serving.calls;
      const entry = await openEntry(clocks[0], serving.ingress);
      await using _entry = entry.calls;
      const answer = await request(`http://${entry.edge}/`, {
        headers: { [CLOCK_HEADER]: `${NOW_MS + 900_000}.0` },
      });
      await answer.body.dump();
      expect(answer.headers[CLOCK_HEADER]).to.equal(undefined);
      expect(clocks.map((clock) => clock.read()))
        .to.deep.equal([AHEAD, AHEAD]);
    });
  }

  for (
    const [name, near, far] of [
      ["on peer messages", AHEAD, BEHIND],
      ["on their answers", BEHIND, AHEAD],
    ] as const
  ) {
    it(`ride ${name}`, async () => {
      const clocks = [createClock(near), createClock(far)] as const;
      const serving = await openServing(clocks[1]);
      await using _serving = serving.calls;
      await using peers = new PeerClient({ tls: undefined, clock: clocks[0] });
      const message = { type: "CheckClaim", attemptId: "r.1" } as const;
      const { ingress: address } = serving;
      await peers.send({ address, message, timeoutMs: 5_000, isFresh: false });
      expect(clocks.map((clock) => clock.read()))
        .to.deep.equal([AHEAD, AHEAD]);
    });
  }

  for (
    const [name, near, far] of [
      ["to control", AHEAD, BEHIND],
      ["to nodes", BEHIND, AHEAD],
    ] as const
  ) {
    it(`ride on links ${name}`, async () => {
      const clocks = [createClock(near), createClock(far)] as const;
      const address = await findAddress();
      await using server: LinkServer = new LinkServer({
        address: parseAddress(address)!,
        onMessage: (linkId) => server.send(linkId, { type: "DrainOrder" }),
        onClose: () => {},
        clock: clocks[1],
      });
      await server.open();
      await new Promise<void>((resolve) => {
        const client = new LinkClient({
          id: "node",
          replicas: [address],
          onMessage: () => {
            client[Symbol.asyncDispose]().then(resolve);
          },
          onOpen: () => client.send({ type: "Leave" }),
          onClose: () => {},
          readConfirmed: () => undefined,
          createHeartbeat: undefined,
          clock: clocks[0],
        });
        client.open();
      });
      expect(clocks.map((clock) => clock.read()))
        .to.deep.equal([AHEAD, AHEAD]);
    });
  }
});

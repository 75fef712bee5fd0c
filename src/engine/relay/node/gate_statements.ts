/** Records at the gate what the backend server says of itself in its answers. */
import { EMPTY_STATEMENT } from "../common/backend_notice.ts";
import type { CallDialect } from "../common/dialect.ts";
import type { GateEffect, GateEvent } from "../common/gate.ts";
import type { GateCallState } from "../common/gate_call_index.ts";
import { createNoticeLines } from "../common/gate_lines.ts";
import type { GateState } from "../common/gate_state.ts";
import { formatInstance } from "../common/local_backend.ts";
import type { LocalBackend } from "../common/local_backend.ts";
import type { RelayLog } from "../common/relay_log.ts";
import type { BackendHead } from "./backend_client.ts";

/** What the statements at a gate depend on. */
export interface GateStatementsOptions {
  readonly dialect: CallDialect;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
  readonly log: RelayLog;
  readonly gate: GateState;
  /** Applies an event to the gate. */
  readonly step: (event: GateEvent) => void;
  /** Counts a call under a rate limit of the backend server. */
  readonly recordLimitedCall: (
    service: string,
    outcome: LimitedOutcome,
  ) => void;
  /** Called if the backend server said in an answer that it leaves. */
  readonly onBackendLeaving: () => void;
}

/** What became of a call under a rate limit. */
export type LimitedOutcome =
  /** It was handed over without a wait. */
  | "handed_over"
  /** It was handed over after it had waited at the gate. */
  | "waited"
  /** It was refused, as its turn would have come too late. */
  | "refused";

/** Reads the statements of one backend server, and reports their changes. */
export class GateStatements {
  readonly #options: GateStatementsOptions;

  constructor(options: GateStatementsOptions) {
    this.#options = options;
  }

  /** Reports a changed notice. */
  reportNotice(effect: Extract<GateEffect, { type: "NoticeChanged" }>): void {
    const { log, gate, onBackendLeaving } = this.#options;
    createNoticeLines(effect, gate.backend?.service)
      .forEach((line) => log.write(line));
    if (effect.changes.includes("leaving")) {
      onBackendLeaving();
    }
  }

  /** Counts a call if the backend server names a limit. */
  countLimited(outcome: LimitedOutcome): void {
    const { backend, bucket } = this.#options.gate;
    if (backend !== undefined && bucket !== undefined) {
      this.#options.recordLimitedCall(backend.service, outcome);
    }
  }

  /** Records what the head of an answer says of the backend server. */
  recordStatement(
    { headers }: BackendHead,
    call: GateCallState,
    backend: LocalBackend,
  ): void {
    const { dialect, readClock, log, gate, step } = this.#options;
    const { requestId } = call.opened;
    const instance = formatInstance(backend);
    const load = dialect.readLoad(headers);
    if (load !== undefined && instance === getInstance(gate)) {
      step({ type: "LoadReported", load });
    }
    const said = dialect.readStatement(headers);
    if (said.limit.type === "Unreadable") {
      const { text } = said.limit;
      const event = "BackendLimitUnreadable";
      log.write({ event, isFailure: true, instance, requestId, text });
    }
    if (gate.notices.size === 0 && said === EMPTY_STATEMENT) {
      return;
    }
    step({
      type: "StatementReceived",
      source: { requestId },
      statement: {
        ...said,
        instance,
        handedOverAtMs: call.startedAtMs,
        receivedAtMs: readClock(),
      },
    });
  }
}

/** Gets the current process instance of the gate's backend server. */
function getInstance({ backend }: GateState): string | undefined {
  return backend && formatInstance(backend);
}

/** HTTP requests to the operators' listeners, one replica after the other. */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { createCliError } from "./cli_error.ts";
import type { CliError } from "./cli_error.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** One request to a control replica or a node. */
export interface OperatorCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
}

/** A JSON answer. */
export interface OperatorReply {
  readonly status: number;
  readonly body: unknown;
}

/** Who asks, and where. */
export interface OperatorClientOptions {
  /** `host:port` of the control replicas. */
  readonly replicas: readonly string[];
  readonly operator: string;
}

const TIMEOUT_MS = 10_000;

/** Asks control replicas, and single processes by their address. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** `host:port` of the control replicas. */
  get replicas(): readonly string[] {
    return this.#options.replicas;
  }

  /**
   * Asks the replicas in turn until one answers. A request that changes
   * something carries an id of its own, so that asking twice does no harm.
   */
  async ask(call: OperatorCall): Promise<Result<OperatorReply, CliError>> {
    const reasons: string[] = [];
    for (const replica of this.#options.replicas) {
      const reply = await this.askOne(replica, call);
      if (reply.isOk() && reply.value.status !== 503) {
        return ok(reply.value);
      }
      reasons.push(
        reply.isErr()
          ? `${replica}: ${reply.error}`
          : `${replica}: ${readMessage(reply.value)}`,
      );
    }
    return err(createCliError({
      exitCode: EXIT_CODES.unreachable,
      message: `No control replica answered (${reasons.join("; ")})`,
      advice: "Check --control and that a quorum of the replicas runs",
    }));
  }

  /** Asks one process. */
  async askOne(
    address: string,
    call: OperatorCall,
  ): Promise<Result<OperatorReply, string>> {
    try {
      const { statusCode, body } = await request(
        `http://${address}${call.path}`,
        {
          method: call.method,
          headers: {
            "content-type": "application/json",
            "basilpin-operator": this.#options.operator,
          },
          body: call.body === undefined ? null : JSON.stringify(call.body),
          signal: AbortSignal.timeout(TIMEOUT_MS),
        },
      );
      return ok({ status: statusCode, body: await body.json() });
    } catch (error) {
      const { code, message } = error as { code?: string; message: string };
      return err(code ?? message);
    }
  }
}

/** Reads the sentence that an answer carries. */
export function readMessage(reply: OperatorReply): string {
  const { message } = (reply.body ?? {}) as { message?: unknown };
  return typeof message === "string" ? message : `status ${reply.status}`;
}

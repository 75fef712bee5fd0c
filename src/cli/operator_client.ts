/** HTTP client for the operator listeners of control replicas and nodes. */
import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import { createConnector, formatOrigin } from "../base/node/tls.ts";
import { describeFailure } from "./call_failure.ts";
import type { CallFailure } from "./call_failure.ts";
import { createCliError } from "./cli_error.ts";
import type { CliError } from "./cli_error.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import type { OperatorAccess } from "./operator_access.ts";

/** Request to a control replica or a node. */
export interface OperatorCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  /** Value to send as JSON. */
  readonly body?: unknown;
  /** Limit on the whole exchange; `DEFAULT_TIMEOUT_MS` by default. */
  readonly timeoutMs?: number;
}

/** HTTP answer with a JSON body. */
export interface OperatorReply {
  readonly status: number;
  readonly body: unknown;
}

export interface OperatorClientOptions {
  /** `host:port` of the control replicas. */
  readonly replicas: readonly string[];
  /** Name of the operator, sent with each request. */
  readonly operator: string;
  /** If it is an error, every request fails with it. */
  readonly access: Result<OperatorAccess, CliError>;
}

const DEFAULT_TIMEOUT_MS = 10_000;
/** Limit for answers that a process gives from memory; longer is a fault. */
export const IN_MEMORY_READ_TIMEOUT_MS = 2_000;

/** Sends requests to any control replica or to a process by its address. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;
  #agent: Agent | undefined;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** `host:port` of the control replicas. */
  get replicas(): readonly string[] {
    return this.#options.replicas;
  }

  /**
   * Sends the request to one replica after the other until one answers with
   * another status than 503. An edit carries an id and is applied once, so
   * sending it twice is safe.
   */
  async request(call: OperatorCall): Promise<Result<OperatorReply, CliError>> {
    const { access } = this.#options;
    if (access.isErr()) {
      return err(access.error);
    }
    const reasons: string[] = [];
    let advice = "Check --control and that a quorum of the replicas runs";
    for (const replica of this.#options.replicas) {
      const reply = await this.requestFrom(replica, call);
      if (reply.isOk() && reply.value.status === 401) {
        return err(createDeniedError(replica, reply.value));
      }
      if (reply.isOk() && reply.value.status !== 503) {
        return ok(reply.value);
      }
      if (reply.isErr()) {
        advice = reply.error.advice ?? advice;
      }
      reasons.push(
        reply.isErr()
          ? `${replica}: ${reply.error.reason}`
          : `${replica}: ${readMessage(reply.value)}`,
      );
    }
    return err(createCliError({
      exitCode: EXIT_CODES.unreachable,
      message: `No control replica answered (${reasons.join("; ")})`,
      advice,
    }));
  }

  /** Sends the request to the process at `address`, as `host:port`. */
  async requestFrom(
    address: string,
    call: OperatorCall,
  ): Promise<Result<OperatorReply, CallFailure>> {
    const { access } = this.#options;
    if (access.isErr()) {
      return err({ reason: access.error.message, advice: undefined });
    }
    const { authority, token } = access.value;
    const isTls = authority !== undefined;
    try {
      const { statusCode, body } = await request(
        `${formatOrigin(address, isTls)}${call.path}`,
        {
          dispatcher: this.#getAgent(authority),
          method: call.method,
          headers: {
            "content-type": "application/json",
            "basilpin-operator": this.#options.operator,
            ...createAuthorization(call, token),
          },
          body: call.body === undefined ? null : JSON.stringify(call.body),
          signal: AbortSignal.timeout(call.timeoutMs ?? DEFAULT_TIMEOUT_MS),
        },
      );
      return ok({ status: statusCode, body: await body.json() });
    } catch (error) {
      return err(describeFailure(error, isTls));
    }
  }

  #getAgent(authority: string | undefined): Agent {
    const trust = authority === undefined ? undefined : { authority };
    this.#agent ??= new Agent({ connect: createConnector(trust) });
    return this.#agent;
  }
}

/** Creates the authorization header; only requests that change state get it. */
function createAuthorization(
  { method }: OperatorCall,
  token: string | undefined,
): Readonly<Record<string, string>> {
  return method === "GET" || token === undefined
    ? {}
    : { authorization: `Bearer ${token}` };
}

function createDeniedError(replica: string, reply: OperatorReply): CliError {
  return createCliError({
    exitCode: EXIT_CODES.denied,
    message: `${replica}: ${readMessage(reply)}`,
    advice: "Nothing was changed; name the file of your token by " +
      "--token-file, or set BASILPIN_TOKEN",
  });
}

/** Returns the message of an answer, or its status if it has none. */
export function readMessage(reply: OperatorReply): string {
  const { message } = (reply.body ?? {}) as { message?: unknown };
  return typeof message === "string" ? message : `status ${reply.status}`;
}

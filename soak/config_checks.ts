/**
 * Checks of a soak test of configurations: what operators were answered and
 * what they read.
 */
import { isRefusal } from "./config_operators.ts";
import type {
  ConfigOrder,
  ConfigRead,
  OrderAttempt,
} from "./config_operators.ts";

/**
 * Time after an acknowledgement from which no read may be older, and each
 * undisturbed node must have the configuration in force.
 */
export const APPLY_MS = 2_000;

/** Returns when an order was first acknowledged; undefined if it was not. */
export function findAcknowledgement(
  { attempts }: ConfigOrder,
): OrderAttempt | undefined {
  return attempts
    .filter(({ status }) => status === 200)
    .reduce<OrderAttempt | undefined>(
      (first, attempt) =>
        first === undefined || attempt.endedAtMs < first.endedAtMs
          ? attempt
          : first,
      undefined,
    );
}

/**
 * Lists the orders that may have come into force: acknowledged ones, and those
 * without a clear answer unless another one was acknowledged on their base.
 */
export function listPossibleOrders(
  orders: readonly ConfigOrder[],
): readonly ConfigOrder[] {
  const takenBases = new Set(
    orders.filter(isAcknowledged).map(({ document }) => document.base),
  );
  return orders.filter((order) => {
    const { attempts, document, invalid } = order;
    if (isAcknowledged(order)) {
      return true;
    }
    return invalid === undefined && attempts.some(({ isWhole }) => isWhole) &&
      !attempts.some(({ status }) => isRefusal(status)) &&
      !takenBases.has(document.base);
  });
}

/** Returns the newest version that was acknowledged before a time; 0 if none. */
export function findAcknowledgedVersion(
  orders: readonly ConfigOrder[],
  atMs: number,
): number {
  return orders
    .filter((order) => {
      const first = findAcknowledgement(order);
      return first !== undefined && first.endedAtMs <= atMs;
    })
    .reduce((newest, { document }) => Math.max(newest, document.version), 0);
}

/** Lists what is wrong with the answers to orders, one line each. */
export function listOrderViolations(
  orders: readonly ConfigOrder[],
): readonly string[] {
  const possible = listPossibleOrders(orders);
  const bases = new Set(possible.map(({ document }) => document.base));
  const broken = orders.flatMap((order) => {
    const fault = findOrderFault(order, bases);
    return fault === undefined ? [] : [`${fault}: ${formatOrder(order)}`];
  });
  const acknowledged = orders.filter(isAcknowledged);
  const conflicts = acknowledged.filter((order, index) =>
    acknowledged.findIndex(({ document }) =>
      document.base === order.document.base
    ) < index
  );
  return [
    ...broken,
    ...conflicts.map((order) =>
      `acknowledged on the base of another: ${formatOrder(order)}`
    ),
  ];
}

/** Lists reads of texts that are too old, or can't be in force. */
export function listReadViolations(
  orders: readonly ConfigOrder[],
  reads: readonly ConfigRead[],
): readonly string[] {
  const possible = listPossibleOrders(orders);
  const versions = new Map(
    possible.map(({ text, document }) => [text, document.version]),
  );
  return reads
    .filter(({ status }) => status === 200)
    .flatMap((read) => {
      const version = versions.get(read.text);
      if (version === undefined) {
        const order = orders.find(({ text }) => text === read.text);
        const described = order === undefined
          ? "a text that nobody sent"
          : formatOrder(order);
        return [`read of what can't be in force: ${described}`];
      }
      const newest = findAcknowledgedVersion(orders, read.sentAtMs - APPLY_MS);
      const { replica, sentAtMs } = read;
      return version >= newest ? [] : [
        `read at ${replica}, sent at ${Math.round(sentAtMs)}, answered ` +
        `version ${version}, but ${newest} had been acknowledged`,
      ];
    });
}

/** Lists replicas whose last read isn't of the newest configuration. */
export function listFinalViolations(
  orders: readonly ConfigOrder[],
  reads: readonly ConfigRead[],
): readonly string[] {
  const newest = findAcknowledgedVersion(orders, Infinity);
  const texts = listPossibleOrders(orders)
    .filter(({ document }) => document.version >= newest)
    .map(({ text }) => text);
  return reads
    .filter(({ text, status }) => status !== 200 || !texts.includes(text))
    .map(({ replica, status }) =>
      `last read at ${replica}: status ${status}, not version ${newest}`
    );
}

/** Describes an order by its version, base and answers. */
export function formatOrder(
  { document, invalid, attempts }: ConfigOrder,
): string {
  const { version, base, marker } = document;
  const tries = attempts.map(({ replica, status, isWhole, endedAtMs }) =>
    `${isWhole ? "" : "cut "}${status ?? "no answer"} at ${replica} ` +
    `${Math.round(endedAtMs)} ms`
  );
  const what = invalid === undefined ? "" : ` with ${invalid}`;
  return `version ${version} on ${base} (${marker})${what} [${
    tries.join(", ")
  }]`;
}

function isAcknowledged({ attempts }: ConfigOrder): boolean {
  return attempts.some(({ status }) => status === 200);
}

/**
 * Returns what is wrong with the answers to one order; `bases` are the versions
 * that others may have built on.
 */
function findOrderFault(
  order: ConfigOrder,
  bases: ReadonlySet<number>,
): string | undefined {
  const { attempts, invalid, document } = order;
  const refusals = attempts.filter(({ status }) => isRefusal(status));
  if (attempts.some(({ status, isWhole }) => !isWhole && status === 200)) {
    return "cut on the wire and acknowledged";
  }
  if (invalid !== undefined) {
    return isAcknowledged(order) ? "invalid and acknowledged" : undefined;
  }
  if (attempts.some(({ status = 500 }) => status >= 300 && status < 400)) {
    return "redirected";
  }
  if (refusals.some(({ status, isWhole }) => isWhole && status !== 412)) {
    return "valid and refused";
  }
  if (isAcknowledged(order)) {
    return refusals.length > 0 ? "acknowledged and refused" : undefined;
  }
  return refusals.length > 0 && !bases.has(document.base)
    ? "refused although nothing else was built on its base"
    : undefined;
}

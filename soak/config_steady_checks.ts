/**
 * Checks of the steady time at the end of a soak test of configurations: the
 * shares of a split, and how added routes are served.
 */
import type { ConfigCall } from "./config_callers.ts";
import {
  findRoute,
  MOVED_PREFIX,
  SERVED_SERVICES,
  SPLIT_PREFIX,
} from "./config_document.ts";
import type { SoakDocument } from "./config_document.ts";

const MAX_SHARE_ERROR = 0.2;
/** Fewer calls show no share. */
const MIN_SPLIT_CALLS = 200;
const MIN_ADDED_CALLS = 20;
/** Added routes are to be served at least this often beside the first ones. */
const MIN_SERVED_RATIO = 0.25;

/** Lists what is wrong with calls that one configuration alone explains. */
export function listSteadyViolations(
  document: SoakDocument,
  calls: readonly ConfigCall[],
  services: ReadonlyMap<string, string>,
): readonly string[] {
  return [
    ...listShareViolations(document, calls, services),
    ...listAddedViolations(document, calls),
  ];
}

function listShareViolations(
  document: SoakDocument,
  calls: readonly ConfigCall[],
  services: ReadonlyMap<string, string>,
): readonly string[] {
  const { targets } = findRoute(document, SPLIT_PREFIX)!;
  const run = calls.filter(({ path, backend }) =>
    path.startsWith(SPLIT_PREFIX) && backend !== undefined
  );
  if (run.length < MIN_SPLIT_CALLS) {
    return [];
  }
  const sum = targets.reduce((total, { weight }) => total + weight, 0);
  return targets.flatMap(({ service, weight }) => {
    const count = run
      .filter(({ backend }) => services.get(backend!) === service).length;
    const error = count / run.length - weight / sum;
    return Math.abs(error) <= MAX_SHARE_ERROR ? [] : [
      `${count} of ${run.length} calls of the split went to ${service}, ` +
      `whose weight is ${weight} of ${sum}`,
    ];
  });
}

function listAddedViolations(
  document: SoakDocument,
  calls: readonly ConfigCall[],
): readonly string[] {
  const isAdded = ({ path }: ConfigCall) => {
    const service = findRoute(document, path)?.targets[0]?.service;
    return /^\/(dyn|only)-/.test(path) &&
      SERVED_SERVICES.some((served) => served === service);
  };
  const added = calls.filter(isAdded);
  const first = calls.filter(({ path }) => path.startsWith(MOVED_PREFIX));
  if (added.length < MIN_ADDED_CALLS || first.length === 0) {
    return [];
  }
  const ratio = measureServed(added);
  return ratio >= MIN_SERVED_RATIO * measureServed(first) ? [] : [
    `added routes are served ${ratio.toFixed(2)} of the time, the first ones ` +
    measureServed(first).toFixed(2),
  ];
}

function measureServed(calls: readonly ConfigCall[]): number {
  return calls.filter(({ status }) => status === 200).length / calls.length;
}

/** Workspaces: tenants identified by keys, with their rank and limits. */

/**
 * Hash by which a key is recognised. Only the digest is sent to nodes and
 * stored by them; the key itself stays in the operator's document.
 */
export type KeyDigest = string;

/** A workspace as defined by operators. */
export interface Workspace {
  readonly name: string;
  readonly keyDigests: readonly KeyDigest[];
  /**
   * Rank of its requests, which takes precedence over the ranks of routes; a
   * whole number, 0 is the most urgent. Undefined if only the routes' ranks
   * apply.
   */
  readonly rank: number | undefined;
  /** Requests per second over all nodes; no limit if this and `burst` are 0. */
  readonly ratePerSecond: number;
  /** Requests that may exceed the rate in a window. */
  readonly burst: number;
}

/** Describes the first error in a list of workspaces; undefined without one. */
export function checkWorkspaces(
  workspaces: readonly Workspace[],
): string | undefined {
  const names = new Set<string>();
  const workspaceByDigest = new Map<KeyDigest, string>();
  for (const { name, keyDigests } of workspaces) {
    if (names.has(name)) {
      return `Workspace ${name} is defined twice`;
    }
    names.add(name);
    for (const digest of keyDigests) {
      const other = workspaceByDigest.get(digest) ?? name;
      if (other !== name) {
        return `Workspaces ${other} and ${name} have a key in common`;
      }
      workspaceByDigest.set(digest, name);
    }
  }
  return undefined;
}

/** Workspaces by the digests of their keys. */
export type KeyIndex = ReadonlyMap<KeyDigest, Workspace>;

/** Builds the index of a configuration's workspaces. */
export function buildKeyIndex(workspaces: readonly Workspace[]): KeyIndex {
  return new Map(
    workspaces.flatMap((workspace) =>
      workspace.keyDigests.map((digest) => [digest, workspace] as const)
    ),
  );
}

/** Counts the ranks from 0 to the least urgent one in use. */
export function countRanks(ranks: readonly number[]): number {
  return 1 + ranks.reduce((maxRank, rank) => Math.max(maxRank, rank), 0);
}

/**
 * Combines the rank of a workspace with that of a route: the workspace's takes
 * precedence, and the route's decides among equal ones. `routeRanks` is the
 * number of ranks that the routes use.
 */
export function joinRanks(
  routeRanks: number,
  workspace: Workspace | undefined,
  routeRank: number,
): number {
  return (workspace?.rank ?? 0) * routeRanks + routeRank;
}

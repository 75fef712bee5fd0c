/** Workspaces: whose requests a key tells apart, with their rank and limits. */

/**
 * What a key is recognised by. The digest goes to nodes and into what they
 * hold; the key itself stays in the operator's document.
 */
export type KeyDigest = string;

/** One workspace, as operators define it. */
export interface Workspace {
  readonly name: string;
  readonly keyDigests: readonly KeyDigest[];
  /** Goes before the ranks of routes; 0 is the most urgent. */
  readonly rank: number | undefined;
  /** Requests a second over all nodes; 0: no limit. */
  readonly ratePerSecond: number;
  /** Requests that may come at once beyond the rate. */
  readonly burst: number;
}

/** Describes the first fault of some workspaces, or undefined without one. */
export function checkWorkspaces(
  workspaces: readonly Workspace[],
): string | undefined {
  const names = new Set<string>();
  const holders = new Map<KeyDigest, string>();
  for (const { name, keyDigests } of workspaces) {
    if (names.has(name)) {
      return `Workspace ${name} is defined twice`;
    }
    names.add(name);
    for (const digest of keyDigests) {
      const holder = holders.get(digest) ?? name;
      if (holder !== name) {
        return `Workspaces ${holder} and ${name} have a key in common`;
      }
      holders.set(digest, name);
    }
  }
  return undefined;
}

/** Finds the workspace of a key by its digest. */
export type KeyIndex = ReadonlyMap<KeyDigest, Workspace>;

/** Builds the index of some workspaces; once for each configuration. */
export function buildKeyIndex(workspaces: readonly Workspace[]): KeyIndex {
  return new Map(
    workspaces.flatMap((workspace) =>
      workspace.keyDigests.map((digest) => [digest, workspace] as const)
    ),
  );
}

/** Counts the ranks from 0 to the least urgent one that is in use. */
export function countRanks(ranks: readonly number[]): number {
  return 1 + ranks.reduce((most, rank) => Math.max(most, rank), 0);
}

/**
 * Joins the rank of a workspace with that of a route: the workspace's goes
 * first, and among equal ones the route's decides. `routeRanks` is how many
 * ranks the routes have.
 */
export function joinRanks(
  routeRanks: number,
  workspace: Workspace | undefined,
  routeRank: number,
): number {
  return (workspace?.rank ?? 0) * routeRanks + routeRank;
}

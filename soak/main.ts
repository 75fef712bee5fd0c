/**
 * Plays soaks by hand: `node out/soak/main.js --seeds 50 --first 1`, those of a
 * call tree with `--tree`.
 */
import process from "node:process";
import { Command } from "commander";
import { runSoak, SHORT_SOAK } from "./soak_run.ts";
import { runTreeSoak, SHORT_TREE_SOAK } from "./tree_soak.ts";

const options = new Command("soak")
  .option("--seeds <count>", "how many seeds are played", "1")
  .option("--first <seed>", "the first one", "1")
  .option("--entries <count>", "entries", String(SHORT_SOAK.entries))
  .option("--backends <count>", "backend servers", String(SHORT_SOAK.backends))
  .option("--replicas <count>", "replicas", String(SHORT_SOAK.replicas))
  .option("--seconds <count>", "length of the faults", "12")
  .option("--overlapping <count>", "faults at a time", "2")
  .option("--tree", "services that call each other")
  .option(
    "--nodes <count>",
    "nodes of each service, with --tree",
    String(SHORT_TREE_SOAK.nodesPerService),
  )
  .parse().opts<Readonly<Record<string, string | undefined>>>();

// Ends the processes of the soak with it.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}
let brokenSeeds = 0;
const first = Number(options["first"]);
for (let seed = first; seed < first + Number(options["seeds"]); seed += 1) {
  const shared = {
    seed,
    lengthMs: Number(options["seconds"]) * 1_000,
    overlapping: Number(options["overlapping"]),
  };
  const report = options["tree"] === undefined
    ? await runSoak({
      ...shared,
      entries: Number(options["entries"]),
      backends: Number(options["backends"]),
      replicas: Number(options["replicas"]),
      callers: SHORT_SOAK.callers,
    })
    : await runTreeSoak({
      ...shared,
      nodesPerService: Number(options["nodes"]),
    });
  brokenSeeds += report.broken.length > 0 ? 1 : 0;
  process.stdout.write(`${JSON.stringify(report)}\n`);
}
process.stdout.write(`${brokenSeeds} seeds broke a rule\n`);
process.exit(brokenSeeds === 0 ? 0 : 1);

/**
 * Runs soak tests from the command line, one per seed:
 * `node out/soak/main.js --seeds 50 --first 1`. With `--tree`, runs the soak
 * test of a call tree, with `--crashes` that of requests that end the backend
 * servers that run them, with `--parts` that of planned work while callers send
 * their requests in parts, with `--config` that of configurations, with
 * `--served` that of what callers are served after faults.
 */
import process from "node:process";
import { Command } from "commander";
import { runConfigSoak, SHORT_CONFIG_SOAK } from "./config_soak.ts";
import { runCrashSoak } from "./crash_soak.ts";
import { runPartsSoak, SHORT_PARTS_SOAK } from "./parts_soak.ts";
import { runServedSoak } from "./served_soak.ts";
import { runSoak, SHORT_SOAK } from "./soak_run.ts";
import { runTreeSoak, SHORT_TREE_SOAK } from "./tree_soak.ts";

const options = new Command("soak")
  .option("--seeds <count>", "number of seeds to run", "1")
  .option("--first <seed>", "first seed", "1")
  .option("--entries <count>", "entry nodes", String(SHORT_SOAK.entries))
  .option("--backends <count>", "backend servers", String(SHORT_SOAK.backends))
  .option("--replicas <count>", "control replicas", String(SHORT_SOAK.replicas))
  .option("--seconds <count>", "duration of fault injection", "12")
  .option("--overlapping <count>", "maximum number of concurrent faults", "2")
  .option("--tree", "run the soak test of a call tree")
  .option("--crashes", "run the soak test of requests that end servers")
  .option("--parts", "run the soak test of requests that are sent in parts")
  .option("--config", "run the soak test of configurations")
  .option("--served", "run the soak test of what callers are served")
  .option(
    "--operators <count>",
    "operators, with --config",
    String(SHORT_CONFIG_SOAK.operators),
  )
  .option(
    "--logs <folder>",
    "where to keep logs of broken seeds, with --config",
  )
  .option("--callers <count>", "callers of each entry node")
  .option(
    "--nodes <count>",
    "nodes per service, with --tree",
    String(SHORT_TREE_SOAK.nodesPerService),
  )
  .parse().opts<Readonly<Record<string, string | undefined>>>();

// The default action of a signal skips exit handlers; exiting explicitly runs
// them, which ends the child processes.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}
let brokenSeeds = 0;
const first = Number(options["first"]);
for (let seed = first; seed < first + Number(options["seeds"]); seed += 1) {
  const common = {
    seed,
    lengthMs: Number(options["seconds"]) * 1_000,
    overlapping: Number(options["overlapping"]),
  };
  const size = {
    entries: Number(options["entries"]),
    backends: Number(options["backends"]),
    replicas: Number(options["replicas"]),
  };
  const report = options["served"] !== undefined
    ? await runServedSoak(common)
    : options["config"] !== undefined
    ? await runConfigSoak({
      ...common,
      ...size,
      operators: Number(options["operators"]),
      logs: options["logs"],
    })
    : options["parts"] !== undefined
    ? await runPartsSoak({
      ...common,
      ...size,
      callers: Number(options["callers"] ?? SHORT_PARTS_SOAK.callers),
    })
    : options["crashes"] !== undefined
    ? await runCrashSoak({
      ...common,
      workers: Number(options["backends"]) + 1,
    })
    : options["tree"] === undefined
    ? await runSoak({
      ...common,
      ...size,
      callers: Number(options["callers"] ?? SHORT_SOAK.callers),
    })
    : await runTreeSoak({
      ...common,
      nodesPerService: Number(options["nodes"]),
    });
  brokenSeeds += report.broken.length > 0 ? 1 : 0;
  process.stdout.write(`${JSON.stringify(report)}\n`);
}
process.stdout.write(`${brokenSeeds} seeds broke a rule\n`);
process.exit(brokenSeeds === 0 ? 0 : 1);

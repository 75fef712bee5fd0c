/** Checks that names of functions begin with a verb listed in docs/VERBS.md. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const VERBS_FILE = "docs/VERBS.md";
const FUNCTION_DECLARATION =
  /^\s*(?:export )?(?:async )?function\*? ([a-z]+)([A-Z]\w*)?\s*[<(]/gm;
/** Matches the first cell of a row: verbs in lower case, parted by commas. */
const VERB_ROW = /^\|\s*([a-z, ]+?)\s*\|/gm;

function readVerbs(): ReadonlySet<string> {
  const page = readFileSync(VERBS_FILE, "utf8");
  const rows = [...page.matchAll(VERB_ROW)].map(([, cell]) => cell!);
  return new Set(
    rows.flatMap((cell) => cell.split(",").map((verb) => verb.trim())),
  );
}

function listSources(): readonly string[] {
  return ["src", "platform"].flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
      .filter((name) => name.endsWith(".ts") && !/(^|\/)test\//.test(name))
      .map((name) => join(folder, name))
  );
}

const verbs = readVerbs();
const faults: string[] = [];
let count = 0;
for (const file of listSources()) {
  for (
    const [, verb, rest] of readFileSync(file, "utf8").matchAll(
      FUNCTION_DECLARATION,
    )
  ) {
    count += 1;
    if (!verbs.has(verb!)) {
      faults.push(`${file}: ${verb}${rest ?? ""}`);
    }
  }
}
process.stdout.write(`${count} functions, ${faults.length} verb faults\n`);
if (faults.length > 0) {
  process.stderr.write(`${faults.join("\n")}\n`);
  process.exit(1);
}

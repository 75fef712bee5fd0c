/** Checks that names of the platform occur in no source outside `platform/`. */
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const NAMES_FILE = "platform/names.txt";
const FOLDERS = ["src", "standin", "demo", "bench", "scripts"];

function listSources(folder: string): readonly string[] {
  return readdirSync(folder).flatMap((name) => {
    const path = join(folder, name);
    return statSync(path).isDirectory()
      ? listSources(path)
      : path.endsWith(".ts")
      ? [path]
      : [];
  });
}

const names = readFileSync(NAMES_FILE, "utf8").split("\n")
  .filter((name) => name !== "")
  .map((name) => name.toLowerCase());
const files = FOLDERS.flatMap(listSources);
const faults = files.flatMap((file) => {
  const source = readFileSync(file, "utf8").toLowerCase();
  return names.filter((name) => source.includes(name))
    .map((name) => `${file}: ${name} may only be used in platform/`);
});
process.stdout.write(
  `${names.length} platform names, ${faults.length} outside platform/\n`,
);
if (faults.length > 0) {
  process.stderr.write(`${faults.join("\n")}\n`);
  process.exit(1);
}

/**
 * Checks that imports point down only: base, engine, daemon and cli, and above
 * them mod and the adapter of the users' platform.
 */
import { readdirSync, readFileSync, statSync } from "node:fs";
import { dirname, join, normalize, relative } from "node:path";
import process from "node:process";

interface Place {
  readonly layer: string;
  readonly area: string;
  readonly folder: string;
}

const RANKS: Readonly<Record<string, number>> = {
  base: 0,
  engine: 1,
  daemon: 2,
  cli: 2,
  mod: 3,
  adapter: 3,
};
const IMPORT = /(?:from|import)\s*\(?\s*"(\.[^"]+)"/g;
const BUILTIN_IO =
  /(?:from|import)\s*\(?\s*"(node:(?:fs|http|net|tls|child_process)[^"]*)"/g;

function listFiles(folder: string): readonly string[] {
  return readdirSync(folder).flatMap((name) => {
    const path = join(folder, name);
    return statSync(path).isDirectory()
      ? listFiles(path)
      : path.endsWith(".ts")
      ? [path]
      : [];
  });
}

function locate(file: string): Place {
  if (file.startsWith("platform/")) {
    const folder = file.startsWith("platform/test/") ? "test" : "";
    return { layer: "adapter", area: "adapter", folder };
  }
  const [layer = "", second = "", third = ""] = relative("src", file)
    .split("/");
  if (layer === "engine") {
    return { layer, area: second, folder: third };
  }
  return { layer: layer.replace(/\.ts$/, ""), area: layer, folder: second };
}

function checkImport(from: Place, to: Place): string | undefined {
  if (from.folder === "test") {
    return undefined;
  }
  if (to.folder === "test") {
    return "imports a test";
  }
  const rankFrom = RANKS[from.layer] ?? 0;
  const rankTo = RANKS[to.layer] ?? 0;
  if (rankTo > rankFrom) {
    return `points up from ${from.layer} to ${to.layer}`;
  }
  if (rankTo === rankFrom && rankFrom === 2 && from.layer !== to.layer) {
    return `${from.layer} and ${to.layer} never import each other`;
  }
  if (from.folder === "common" && to.folder === "node") {
    return "common never imports node";
  }
  const isOtherArea = from.layer === "engine" && to.layer === "engine" &&
    from.area !== to.area;
  if (isOtherArea && to.folder !== "common") {
    return `an area imports only the common of another (${to.area})`;
  }
  return undefined;
}

function checkFile(file: string): readonly string[] {
  const text = readFileSync(file, "utf8");
  const from = locate(file);
  const faults: string[] = [];
  for (const [, target] of text.matchAll(IMPORT)) {
    const path = normalize(join(dirname(file), target!));
    const fault = checkImport(from, locate(path));
    if (fault !== undefined) {
      faults.push(`${file}: ${target}: ${fault}`);
    }
  }
  for (const [, name] of text.matchAll(BUILTIN_IO)) {
    if (from.folder === "common") {
      faults.push(`${file}: ${name}: common does no I/O`);
    }
  }
  return faults;
}

const files = [...listFiles("src"), ...listFiles("platform")];
const faults = files.flatMap(checkFile);
process.stdout.write(
  `${files.length} files, ${faults.length} layer faults\n`,
);
if (faults.length > 0) {
  process.stderr.write(`${faults.join("\n")}\n`);
  process.exit(1);
}

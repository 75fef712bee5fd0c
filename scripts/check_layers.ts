/**
 * Checks that modules import only from their own layer and lower ones. From the
 * bottom up: base; engine; daemon and cli; mod and the platform adapter.
 */
import { readdirSync, readFileSync, statSync } from "node:fs";
import { dirname, join, normalize, relative } from "node:path";
import process from "node:process";

/** Layer and folder that a module belongs to. */
interface ModuleLocation {
  /** Key of `LAYER_RANKS`. */
  readonly layer: string;
  /** Folder under `src/engine`; in other layers the name of the layer. */
  readonly area: string;
  /** Folder within the area, such as `common`, `node` or `test`; else empty. */
  readonly folder: string;
}

/** Height of each layer; imports may not go from a lower to a higher rank. */
const LAYER_RANKS: Readonly<Record<string, number>> = {
  base: 0,
  engine: 1,
  daemon: 2,
  cli: 2,
  mod: 3,
  adapter: 3,
};
const RELATIVE_IMPORT = /(?:from|import)\s*\(?\s*"(\.[^"]+)"/g;
const IO_MODULE_IMPORT =
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

function locateModule(file: string): ModuleLocation {
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

function checkImport(
  from: ModuleLocation,
  to: ModuleLocation,
): string | undefined {
  if (from.folder === "test") {
    return undefined;
  }
  if (to.folder === "test") {
    return "imports a test";
  }
  const rankFrom = LAYER_RANKS[from.layer] ?? 0;
  const rankTo = LAYER_RANKS[to.layer] ?? 0;
  if (rankTo > rankFrom) {
    return `imports from a higher layer: ${from.layer} imports ${to.layer}`;
  }
  if (rankTo === rankFrom && rankFrom === 2 && from.layer !== to.layer) {
    return `${from.layer} and ${to.layer} must not import each other`;
  }
  if (from.folder === "common" && to.folder === "node") {
    return "common must not import node";
  }
  const isOtherArea = from.layer === "engine" && to.layer === "engine" &&
    from.area !== to.area;
  if (isOtherArea && to.folder !== "common") {
    return `an area may import only the common folder of another area (${to.area})`;
  }
  return undefined;
}

function checkFile(file: string): readonly string[] {
  const source = readFileSync(file, "utf8");
  const from = locateModule(file);
  const faults: string[] = [];
  for (const [, target] of source.matchAll(RELATIVE_IMPORT)) {
    const path = normalize(join(dirname(file), target!));
    const fault = checkImport(from, locateModule(path));
    if (fault !== undefined) {
      faults.push(`${file}: ${target}: ${fault}`);
    }
  }
  for (const [, name] of source.matchAll(IO_MODULE_IMPORT)) {
    if (from.folder === "common") {
      faults.push(`${file}: ${name}: common must not do I/O`);
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

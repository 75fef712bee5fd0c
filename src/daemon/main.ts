#!/usr/bin/env node
/** `basilpind`: runs one process in the role that its settings name. */
import process from "node:process";
import { Command } from "commander";
import { describeStorageError } from "../engine/storage/common/storage_error.ts";
import type { StorageError } from "../engine/storage/common/storage_error.ts";
import { readSecurity } from "./security.ts";
import type { Security } from "./security.ts";
import { readSettings } from "./settings.ts";
import type { Settings } from "./settings.ts";

const EXIT_OK = 0;
const EXIT_FAILED = 1;
const EXIT_INVALID_SETTINGS = 2;

interface Daemon extends AsyncDisposable {
  open(): Promise<void>;
  /**
   * Resolves when the process can stop: work has finished or is handed over.
   */
  drain(): Promise<void>;
}

/**
 * Creates the daemon of the role. Imports only the modules of that role, to
 * limit the memory of a node, which shares its VM with a backend server.
 */
async function createDaemon(
  settings: Settings,
  security: Security,
): Promise<Daemon> {
  if (settings.role === "node") {
    const { NodeDaemon } = await import("./node_daemon.ts");
    return new NodeDaemon(settings, security);
  }
  const { ControlDaemon } = await import("./control_daemon.ts");
  const { openDataFolder } = await import(
    "../engine/storage/node/data_folder.ts"
  );
  const folder = await openDataFolder(settings.data_folder, settings.id);
  if (folder.isErr()) {
    return failStorage(folder.error);
  }
  return new ControlDaemon({
    settings,
    security,
    folder: folder.value,
    onStorageError: failStorage,
  });
}

/**
 * Exits on a storage error: a replica that may have lost acknowledged writes
 * must not answer any message.
 */
function failStorage(error: StorageError): never {
  process.stderr.write(`${describeStorageError(error)}\n`);
  process.exit(EXIT_FAILED);
}

async function runDaemon(
  settings: Settings,
  security: Security,
): Promise<void> {
  const daemon = await createDaemon(settings, security);
  try {
    await daemon.open();
  } catch (error) {
    process.stderr.write(`Can't start: ${(error as Error).message}\n`);
    process.exit(EXIT_FAILED);
  }
  let isStopping = false;
  const stop = async () => {
    // A second signal ends a drain that takes too long.
    if (isStopping) {
      process.exit(EXIT_FAILED);
    }
    isStopping = true;
    await daemon.drain();
    await daemon[Symbol.asyncDispose]();
    process.exit(EXIT_OK);
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.stdout.write(`${settings.id} is up\n`);
}

const program = new Command("basilpind")
  .description("Overload control beside a backend server, or its control")
  .requiredOption("--settings <file>", "TOML settings of this process")
  .option("--check", "check the settings and exit")
  .exitOverride((error) => {
    process.exit(error.exitCode === 0 ? EXIT_OK : EXIT_INVALID_SETTINGS);
  });
program.parse();
const options = program.opts<{ settings: string; check?: boolean }>();

const checked = readSettings(options.settings).andThen((settings) =>
  readSecurity(options.settings, settings)
    .map((security) => ({ settings, security }))
);
await checked.match(
  async ({ settings, security }) => {
    if (options.check === true) {
      process.stdout.write(`${options.settings} is valid\n`);
      return;
    }
    await runDaemon(settings, security);
  },
  (error) => {
    process.stderr.write(`${error.message}\n`);
    process.exit(EXIT_INVALID_SETTINGS);
  },
);

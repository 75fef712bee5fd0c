/** Settings: what is wrong is told in one line. */
import { readFileSync } from "node:fs";
import { expect } from "chai";
import { Snapshots } from "../../base/test/snapshot.ts";
import { parseSettings, readSettings } from "../settings.ts";

const snapshots = new Snapshots(import.meta.url);
const NODE = readFileSync("examples/coton-loukkos/node.toml", "utf8");

describe("settings", () => {
  for (const deployment of ["coton-loukkos", "toy-trust"]) {
    for (const role of ["node", "control"]) {
      it(`takes the example of a ${role} of ${deployment}`, () => {
        const file = `examples/${deployment}/${role}.toml`;
        expect(readSettings(file)._unsafeUnwrap().role).to.equal(role);
      });
    }
  }

  const faults: Readonly<Record<string, string>> = {
    "unknown key": `${NODE}\n[extra]\nkey = 1\n`,
    "unknown key inside": NODE.replace("slots", "slotz"),
    "missing key": NODE.replace(/^service.*$/m, ""),
    "wrong type": NODE.replace("slots = 50", 'slots = "many"'),
    "out of range": NODE.replace("slots = 50", "slots = -1"),
    "bad address": NODE.replace("127.0.0.1:8001", "8001"),
    "unknown role": NODE.replace('"node"', '"edge"'),
    "no replicas": NODE.replace(/replicas = .*/, "replicas = []"),
    "no TOML": NODE.replace('role = "node"', 'role = "node'),
    "plaintext not said": NODE.replace(/\[security\][^]*$/, ""),
  };
  for (const [name, text] of Object.entries(faults)) {
    it(`tells of ${name} in one line`, () => {
      const { message } = parseSettings("node.toml", text)._unsafeUnwrapErr();
      expect(message.split("\n")).to.have.length(1);
      snapshots.match(name, message);
    });
  }
});

/** Settings: each fault is reported in one line. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { Snapshots } from "../../base/test/snapshot.ts";
import { readSecurity } from "../security.ts";
import { parseSettings, readSettings } from "../settings.ts";

const snapshots = new Snapshots(import.meta.url);
const NODE = readFileSync("examples/coton-loukkos/node.toml", "utf8");

const KEYS = "standin/certificates";

/** Returns the example settings with TLS; undefined removes a key. */
function writeTls(
  lines: Readonly<Record<string, string | undefined>> = {},
): string {
  const security = Object.entries({
    transport: "tls",
    certificate: `${KEYS}/process.pem`,
    key: `${KEYS}/process_key.pem`,
    authority: `${KEYS}/authority.pem`,
    ...lines,
  }).filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name} = ${JSON.stringify(value)}`);
  return NODE.replace(
    'transport = "plaintext"',
    security.join("\n"),
  );
}

describe("settings", () => {
  let folder: string;

  before(() => {
    folder = mkdtempSync(join(tmpdir(), "basilpin-"));
  });

  after(() => {
    rmSync(folder, { recursive: true });
  });

  function readFault(text: string): string {
    const fault = parseSettings("node.toml", text)
      .andThen((settings) => readSecurity("node.toml", settings))
      ._unsafeUnwrapErr();
    expect(fault.message.split("\n")).to.have.length(1);
    return fault.message.replaceAll(folder, "FOLDER");
  }

  for (const deployment of ["coton-loukkos", "toy-trust"]) {
    for (const role of ["node", "control"]) {
      it(`accepts the example of a ${role} of ${deployment}`, () => {
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
    "missing security section": NODE.replace(/\[security\][^]*$/, ""),
  };
  for (const [name, text] of Object.entries(faults)) {
    it(`reports ${name} in one line`, () => {
      const { message } = parseSettings("node.toml", text)._unsafeUnwrapErr();
      expect(message.split("\n")).to.have.length(1);
      snapshots.match(name, message);
    });
  }

  it("accepts TLS and reads the key files that it names", () => {
    const settings = parseSettings("node.toml", writeTls())._unsafeUnwrap();
    const security = readSecurity("node.toml", settings)._unsafeUnwrap();
    expect(security.tls?.certificate).to.contain("BEGIN CERTIFICATE");
    expect(security.isEdgeTls).to.equal(false);
    expect(security.credentials).to.equal(undefined);
  });

  const badKeys: Readonly<Record<string, string>> = {
    "an unknown transport": writeTls({ transport: "ssl" }),
    "TLS without a key": writeTls({ key: undefined }),
    "TLS keys beside plain text": writeTls({ transport: "plaintext" }),
    "a missing certificate": writeTls({ certificate: "missing.pem" }),
    "a certificate that is a folder": writeTls({ certificate: KEYS }),
    "a certificate that is no PEM": writeTls({ certificate: "package.json" }),
    "a certificate where the key should be": writeTls({
      key: `${KEYS}/process.pem`,
    }),
    "the key of another certificate": writeTls({
      key: `${KEYS}/stranger_key.pem`,
    }),
    "an authority that is a key": writeTls({
      authority: `${KEYS}/process_key.pem`,
    }),
    "a missing file of operators":
      `${NODE}\n[operators]\nfile = "missing.toml"\n`,
  };
  for (const [name, text] of Object.entries(badKeys)) {
    it(`reports ${name} in one line`, () => {
      snapshots.match(name, readFault(text));
    });
  }

  const badOperators: Readonly<Record<string, string>> = {
    "a token in clear": 'amal = "secret"\n',
    "an empty file of operators": "",
    "operators that are no TOML": "amal: 12\n",
  };
  for (const [name, text] of Object.entries(badOperators)) {
    it(`reports ${name} in one line`, () => {
      const file = join(folder, "operators.toml");
      writeFileSync(file, text);
      const settings = `${NODE}\n[operators]\nfile = "${file}"\n`;
      const message = readFault(settings);
      expect(message).not.to.contain("secret");
      snapshots.match(name, message);
    });
  }
});

/** Edits of the table whose body says two things at once. */
import { expect } from "chai";
import { request } from "undici";
import { findAddress } from "../../../standin/ports.ts";
import { parseAddress } from "../../base/node/listen.ts";
import { parseEditBody } from "../edit_body.ts";
import { OperatorServer } from "../operator_server.ts";

const CELLS = {
  kind: "lookup",
  service: "provenance",
  method: "GET",
  path: "/bales/*",
  weight: "4",
  importance: "3",
  concurrency: "50",
  rate: "2000",
  queue: "100",
  timeout_ms: "2000",
  retries: "3",
  idempotent: "yes",
  key: "none",
  max_body_bytes: "0",
};

/** Parses a replacement of all rows; returns the error, if any. */
function replaceRows(...rows: readonly Readonly<Record<string, string>>[]) {
  const change = { type: "ReplaceRows", rows };
  return parseEditBody({ editId: "e1", change }).match(
    () => undefined,
    (error) => error,
  );
}

describe("a replacement of all rows", () => {
  // Guards against a row that is lost without a word.
  it("is refused with two rows of one kind, or of one method and path", () => {
    const other = { ...CELLS, kind: "stock", path: "/stock/*" };
    expect(replaceRows(CELLS, other)).to.equal(undefined);
    expect(replaceRows(CELLS, other, { ...CELLS, weight: "9" }))
      .to.equal("line 4, kind: Kind lookup already stands in line 2");
    expect(replaceRows(CELLS, { ...CELLS, kind: "stock" }))
      .to.equal("line 3, path: GET /bales/* already stands in line 2");
  });
});

describe("the body of an operator's call", () => {
  // Guards against a value that is dropped, and one that is replaced, unseen.
  it("is refused with a name twice in an object, or with invalid UTF-8", async () => {
    const address = await findAddress();
    await using server = new OperatorServer({
      address: parseAddress(address)!,
      security: { tls: undefined, credentials: undefined },
      routes: new Map([["POST /echo", ({ body }) => ({ status: 200, body })]]),
      answerScrape: () => Promise.resolve(),
    });
    await server.open();
    const send = async (body: string | Uint8Array) => {
      const answer = await request(`http://${address}/echo`, {
        method: "POST",
        body,
        reset: true,
      });
      return [answer.statusCode, (await answer.body.text()).trim()];
    };
    expect(await send('{"a":{"b":1}}')).to.deep.equal([200, '{"a":{"b":1}}']);
    expect((await send('{"a":{"b":1,"\\u0062":2}}'))[0]).to.equal(400);
    const invalid = Uint8Array.of(0x22, 0xff, 0x22);
    expect((await send(invalid))[0]).to.equal(400);
  });
});

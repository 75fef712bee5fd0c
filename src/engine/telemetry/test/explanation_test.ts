/** Explanations of three kinds of failed request. */
import { expect } from "chai";
import { Snapshots } from "../../../base/test/snapshot.ts";
import { explainRequest, parseLogLine } from "../common/explanation.ts";
import { LINES } from "./explanation_lines.ts";

const snapshots = new Snapshots(import.meta.url);

describe("the explanation of a request", () => {
  const kinds = [
    ["refused at the root for load below", "q364"],
    ["out of time at a node that fell silent", "q965"],
    ["of unknown outcome after its node was killed", "q967"],
  ] as const;
  for (const [kind, requestId] of kinds) {
    it(`that was ${kind}`, () => {
      snapshots.match(kind, explainRequest(LINES, requestId));
    });
  }

  it("doesn't depend on the order of the files", () => {
    const reversed = [...LINES].reverse();
    expect(explainRequest(reversed, "q967"))
      .to.deep.equal(explainRequest(LINES, "q967"));
  });

  it("is empty if no line has the request's id", () => {
    const explanation = explainRequest(LINES, "nobody");
    expect(explanation.decisions).to.deep.equal([]);
    expect(explanation.cause).to.equal(undefined);
  });

  it("ignores lines that are not log lines of this program", () => {
    const foreignLines = ["", "Killed", "{", "7", "null", '{"message":"x"}'];
    expect(foreignLines.map(parseLogLine))
      .to.deep.equal(foreignLines.map(() => undefined));
  });
});

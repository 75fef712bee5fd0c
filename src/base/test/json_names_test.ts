/** Names that occur twice in an object of a JSON text. */
import { expect } from "chai";
import fc from "fast-check";
import { findRepeatedName } from "../common/json_names.ts";

describe("a repeated name in a JSON text", () => {
  // Guards against values that `JSON.parse` drops without a trace.
  it("is found at any depth, whatever escapes it is written with", () => {
    const find = (text: string) => {
      JSON.parse(text);
      return findRepeatedName(text);
    };
    expect(find(`{"a":1,"a":2}`)).to.deep.equal(["a"]);
    expect(find(`{"":1,"":2}`)).to.deep.equal([""]);
    expect(find(`{"a":1,"b":2,"c":3,"a":4}`)).to.deep.equal(["a"]);
    expect(find(`[0,[{"a":{"b":[]}}, { "a":{ "c":1 , "c" :2}}]]`))
      .to.deep.equal([1, 1, "a", "c"]);
    expect(find(`{"service":1,"\\u0073ervice":2}`))
      .to.deep.equal(["service"]);
    expect(find(`{"a\\/":1,"a/":2}`)).to.deep.equal(["a/"]);
    expect(find(`{"a\\\\":1,"\\"":2,"a\\u005C":3}`))
      .to.deep.equal(["a\\"]);
    expect(find(`{"__proto__":1,"__proto__":2}`))
      .to.deep.equal(["__proto__"]);
  });

  it("is not found in values, in other objects or in parts of strings", () => {
    const texts = [
      `{"a":"a","b":["a","a"],"c":{"a":{"a":"{\\"a\\":1,\\"a\\":2}"}}}`,
      `[{"a":1},{"a":2},["a","a"],"\\\\",{"a":"\\\\\\""}]`,
      `{"a":[{}, [], {"x":1}],"x":{}}`,
      `"a"`,
      `0`,
    ];
    for (const text of texts) {
      JSON.parse(text);
      expect(findRepeatedName(text), text).to.equal(undefined);
    }
    fc.assert(
      fc.property(
        fc.json({ maxDepth: 5 }),
        (text) => findRepeatedName(text) === undefined,
      ),
      { seed: 22, numRuns: 500 },
    );
  });

  // Guards against a stack that overflows on the text of a caller.
  it("is found below a million levels", () => {
    const depth = 1_000_000;
    const inner = `{"b":0,"b":1}`;
    const arrays = `${"[".repeat(depth)}${inner}${"]".repeat(depth)}`;
    expect(findRepeatedName(arrays)).to.have.length(depth + 1);
    const objects = `${`{"a":`.repeat(depth)}${inner}${"}".repeat(depth)}`;
    expect(findRepeatedName(objects)).to.have.length(depth + 1);
  });
});

/** Targets of requests in absolute form. */
import { expect } from "chai";
import { resolveTarget } from "../common/request_target.ts";

const HEADERS = ["host", "b.example", "Request-Id", "r1", "HOST", "c.example"];

function resolve(target: string) {
  return resolveTarget({ host: "b.example", target, headers: HEADERS });
}

describe("the target of a request", () => {
  // Guards against 404 for a route that is there, and against a backend server
  // that is told another host than the one that selected its route.
  it("in absolute form replaces the Host header, and is forwarded in origin form", () => {
    const expected: readonly (readonly [string, string, string])[] = [
      ["http://a.example/x/1", "a.example", "/x/1"],
      [
        "HTTP://A.example:8080/x//%2f?q=http://d/",
        "A.example:8080",
        "/x//%2f?q=http://d/",
      ],
      ["https://[::1]:80/", "[::1]:80", "/"],
      ["http://a.example", "a.example", "/"],
      ["http://a.example?q=/x/", "a.example", "/?q=/x/"],
      ["http:///x", "", "/x"],
    ];
    for (const [absolute, host, target] of expected) {
      expect(resolve(absolute), absolute).to.deep.equal({
        host,
        target,
        headers: ["Host", host, "Request-Id", "r1"],
      });
    }
  });

  it("in another form is left as it is", () => {
    for (
      const target of [
        "/http://a.example/x",
        "/",
        "*",
        "ftp://a.example/x",
        "http:/x",
        "",
      ]
    ) {
      expect(resolve(target), target)
        .to.deep.equal({ host: "b.example", target, headers: HEADERS });
    }
  });
});

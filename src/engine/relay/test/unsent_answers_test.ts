/** Limit on the bytes of answers that callers have not read. */
import { expect } from "chai";
import { UnsentAnswers } from "../common/unsent_answers.ts";

describe("unsent answers", () => {
  const NO_ROOM = { type: "NoRoom" };
  let answers: UnsentAnswers<string>;

  beforeEach(() => {
    answers = new UnsentAnswers<string>({
      maxBytes: 100,
      smallReserveBytes: 10,
      smallBytes: 5,
      stallMs: 50,
    });
  });

  it("are bounded together, with a reserve for small ones", () => {
    answers.add("a", 60, 0);
    answers.add("b", 40, 0);
    expect(answers.evaluate(6, 0)).to.deep.equal(NO_ROOM);
    expect(answers.evaluate(5, 0)).to.deep.equal({ type: "Room", stalled: [] });
    answers.add("c", 5, 0);
    answers.add("d", 5, 0);
    expect(answers.evaluate(1, 0)).to.deep.equal(NO_ROOM);
    answers.remove("a");
    answers.remove("a");
    expect(answers.bytes).to.equal(50);
    expect(answers.evaluate(50, 0))
      .to.deep.equal({ type: "Room", stalled: [] });
  });

  it("give way once nothing of them was sent for some time", () => {
    answers.add("first", 40, 0);
    answers.add("second", 40, 10);
    answers.add("read", 20, 0);
    answers.recordProgress("read", 40);
    expect(answers.evaluate(30, 49)).to.deep.equal(NO_ROOM);
    expect(answers.evaluate(30, 50))
      .to.deep.equal({ type: "Room", stalled: ["first"] });
    expect(answers.evaluate(60, 60))
      .to.deep.equal({ type: "Room", stalled: ["first", "second"] });
  });

  it("don't stall while they wait for others on their connection", () => {
    answers.add("waiting", 100, undefined);
    expect(answers.evaluate(30, 1_000)).to.deep.equal(NO_ROOM);
    answers.recordProgress("waiting", 1_000);
    expect(answers.evaluate(30, 1_050))
      .to.deep.equal({ type: "Room", stalled: ["waiting"] });
  });

  it("are not cut if that doesn't make enough room", () => {
    answers.add("stalled", 20, 0);
    answers.add("read", 80, 0);
    answers.recordProgress("read", 60);
    expect(answers.evaluate(30, 60)).to.deep.equal(NO_ROOM);
    expect(answers.evaluate(20, 60))
      .to.deep.equal({ type: "Room", stalled: ["stalled"] });
  });
});

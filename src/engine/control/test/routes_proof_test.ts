/**
 * Proofs of the newest routes by rounds of reads that start after the request.
 */
import { expect } from "chai";
import type { OutboundMessage } from "../../link/common/link_messages.ts";
import { createAnnouncement } from "../../membership/test/replicas.ts";
import { reduceControl } from "../common/control_reducer.ts";
import { createControl } from "../common/control_state.ts";
import type { ControlEvent, ControlState } from "../common/control_state.ts";

const LINK = 1;

class ProofRun {
  #state: ControlState = createControl("a", 0);

  constructor() {
    this.#dispatch({
      type: "NodeMessageReceived",
      linkId: LINK,
      message: {
        type: "Announce",
        announcement: createAnnouncement("n"),
        linkNumber: 1,
        tableVersion: 0,
        routesVersion: 0,
      },
    });
  }

  requestProof(proof: number): void {
    this.#dispatch({
      type: "NodeMessageReceived",
      linkId: LINK,
      message: { type: "Heartbeat", tableVersion: 0, proof },
    });
  }

  /**
   * Updates the rounds of reads; returns the numbers of the proofs that are
   * sent.
   */
  updateRounds(started: number, confirmed: number): readonly number[] {
    const readRounds = { started, confirmed };
    return this.#dispatch({ type: "RoundsReplaced", readRounds })
      .flatMap((message) =>
        message.type === "RoutesProved" ? [message.number] : []
      );
  }

  #dispatch(event: ControlEvent): readonly OutboundMessage[] {
    const step = reduceControl(this.#state, event, 0);
    this.#state = step.state;
    return step.effects.flatMap((effect) =>
      effect.type === "SendToLink" ? [effect.message] : []
    );
  }
}

describe("a proof of the newest routes", () => {
  it("doesn't come from a round that was under way when it was asked for", () => {
    const run = new ProofRun();
    run.updateRounds(3, 2);
    run.requestProof(1);
    expect(run.updateRounds(3, 3)).to.deep.equal([]);
    expect(run.updateRounds(4, 3)).to.deep.equal([]);
    expect(run.updateRounds(4, 4)).to.deep.equal([1]);
    expect(run.updateRounds(5, 5)).to.deep.equal([]);
  });

  it("answers the last of several requests, and later ones with a later round", () => {
    const run = new ProofRun();
    run.requestProof(1);
    run.requestProof(2);
    run.updateRounds(1, 0);
    run.requestProof(3);
    expect(run.updateRounds(1, 1)).to.deep.equal([2]);
    expect(run.updateRounds(2, 2)).to.deep.equal([3]);
  });
});

/** Log lines on the slots in use while the gate is under pressure. */
import { expect } from "chai";
import { createGate } from "../common/gate_state.ts";
import { GateLoadLog } from "../common/gate_load_log.ts";

describe("the log of a gate's load", () => {
  it("writes no line without pressure", () => {
    const gate = createGate();
    const log = new GateLoadLog();
    for (let nowMs = 0; nowMs <= 3_000; nowMs += 20) {
      expect(log.sample(gate, nowMs)).to.equal(undefined);
    }
  });

  it("writes one line a second with the slots in use under pressure", () => {
    const gate = createGate();
    const log = new GateLoadLog();
    log.sample(gate, 0);
    const lines = [];
    for (let nowMs = 20; nowMs <= 2_000; nowMs += 20) {
      gate.running = nowMs <= 500 ? 2 : 6;
      gate.pressure.pressure = nowMs === 700 ? 0.8 : 0.4;
      lines.push(log.sample(gate, nowMs));
    }
    const written = lines.filter((line) => line !== undefined);
    expect(written).to.have.length(2);
    expect(written[0]).to.include({
      meanRunning: 4,
      leastRunning: 2,
      pressure: 0.4,
      mostPressure: 0.8,
    });
    expect(written[1]).to.include({ meanRunning: 6, mostPressure: 0.4 });
  });

  it("writes the capacity over the demand where it is measured and short", () => {
    const gate = createGate();
    const log = new GateLoadLog();
    log.sample(gate, 0);
    gate.room.ratio = 0.61;
    expect(log.sample(gate, 1_000)).to.equal(undefined);
    gate.isRoomMeasured = true;
    gate.slowdown = { factor: 1.5, reportedAtMs: 0 };
    expect(log.sample(gate, 2_000)).to.include({ spare: 0.61, slowdown: 1.5 });
  });
});

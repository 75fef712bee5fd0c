/** Guards against HTML injection by callers' ids, and wrong lanes. */
import { expect } from "chai";
import { createTimelinePage } from "../timeline_page.ts";
import type { TimelineRecord } from "../../engine/telemetry/common/timeline_event.ts";

describe("time line page", () => {
  it("gives each process a lane and escapes what callers sent", () => {
    const at = { wallMs: 0, counter: 3 };
    const event = {
      type: "CallStarted",
      requestId: "<script>",
      kind: "lookup",
      depth: 0,
    } as const;
    const records: TimelineRecord[] = [
      { at, process: "node-b", dataCentre: "hall-a", event },
      {
        at,
        process: "node-a",
        dataCentre: "hall-a",
        event: { type: "DrainStarted" },
      },
    ];
    const page = createTimelinePage(records);
    expect(page).to.contain("<th>node-a</th><th>node-b</th>");
    expect(page).to.contain("requestId=&lt;script&gt;");
    expect(page).to.not.contain("requestId=<script>");
    expect(page).to.match(/00:00:00\.000Z\+3/);
  });
});

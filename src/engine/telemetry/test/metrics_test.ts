/** Metrics of the first scrape and of later ones. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { Metrics } from "../node/metrics.ts";

describe("metrics", () => {
  it("show what was counted before and after the first scrape", async () => {
    await using metrics = new Metrics();
    let running = 3;
    metrics.addGauge("running", "Running now", () => running);
    metrics.countEvent({ type: "DrainEnded" });
    const server = createServer((request, response) => {
      void metrics.answerScrape(request, response);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const scrape = async () => {
      const answer = await fetch(`http://127.0.0.1:${port}/metrics`);
      expect(answer.status).to.equal(200);
      return await answer.text();
    };
    try {
      const [first, second] = await Promise.all([scrape(), scrape()]);
      for (const text of [first, second]) {
        expect(text).to.match(/^basilpin_events_total\{.*"DrainEnded".*\} 1$/m);
        expect(text).to.match(/^basilpin_running(\{.*\})? 3$/m);
      }
      running = 5;
      metrics.countEvent({ type: "DrainEnded" });
      const later = await scrape();
      expect(later).to.match(/^basilpin_events_total\{.*"DrainEnded".*\} 2$/m);
      expect(later).to.match(/^basilpin_running(\{.*\})? 5$/m);
    } finally {
      server.closeAllConnections();
      server.close();
    }
  });
});

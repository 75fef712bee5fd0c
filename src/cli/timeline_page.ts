/** Renders the time line as one HTML page with a lane for each process. */
import type { TimelineRecord } from "../engine/telemetry/common/timeline_event.ts";

const STYLE = `
body { font: 13px system-ui, sans-serif; margin: 1.5em; color: #222; }
input { width: 24em; padding: 4px; margin-bottom: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #fff; text-align: left; }
th, td { padding: 2px 8px; border-bottom: 1px solid #eee; vertical-align: top; }
td.time { font-family: monospace; white-space: nowrap; color: #666; }
td.here { background: #eef4ff; }
td.here.bad { background: #ffeaea; }
small { color: #666; display: block; max-width: 28em; word-break: break-all; }
`;

const SCRIPT = `
const input = document.querySelector("input");
input.addEventListener("input", () => {
  const wanted = input.value.toLowerCase();
  for (const row of document.querySelectorAll("tbody tr")) {
    row.hidden = !row.textContent.toLowerCase().includes(wanted);
  }
});
`;

/** Event types that the page highlights as failures. */
const FAILURE_EVENTS: ReadonlySet<string> = new Set([
  "AttemptRefused",
  "BackendCrashed",
  "EditRefused",
  "NodeLost",
  "ReplicaSilent",
  "RequestQuarantined",
]);

/** Creates the page; `records` must be in causal order. */
export function createTimelinePage(
  records: readonly TimelineRecord[],
): string {
  const lanes = [...new Set(records.map((record) => record.process))].sort();
  const headings = lanes.map((lane) => `<th>${escapeHtml(lane)}</th>`).join("");
  const rows = records.map((record) => createRow(record, lanes)).join("\n");
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>basilpin time line</title>
<style>${STYLE}</style></head>
<body>
<h1>Time line</h1>
<p>${records.length} events of ${lanes.length} processes, in causal order.</p>
<input placeholder="filter: request id, event, node ..." aria-label="filter">
<table><thead><tr><th>time</th>${headings}</tr></thead>
<tbody>
${rows}
</tbody></table>
<script>${SCRIPT}</script>
</body>
</html>
`;
}

function createRow(
  record: TimelineRecord,
  lanes: readonly string[],
): string {
  const { at, event } = record;
  const time = `${new Date(at.wallMs).toISOString().slice(11)}+${at.counter}`;
  const cells = lanes.map((lane) =>
    lane === record.process ? createCell(event) : "<td></td>"
  );
  return `<tr><td class="time">${time}</td>${cells.join("")}</tr>`;
}

function createCell(event: TimelineRecord["event"]): string {
  const { type, ...details } = event;
  const text = Object.entries(details)
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
  const className = FAILURE_EVENTS.has(type) ? "here bad" : "here";
  const detailsHtml = text === "" ? "" : `<small>${escapeHtml(text)}</small>`;
  return `<td class="${className}">${escapeHtml(type)}${detailsHtml}</td>`;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll("&", "&amp;")
    .replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;")
    .replaceAll('"', "&quot;");
}

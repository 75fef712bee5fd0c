/** Draws lines over a category axis as a small SVG. */

/** One line; `undefined` leaves a gap. */
export interface PlotLine {
  readonly name: string;
  readonly values: readonly (number | undefined)[];
}

/** One panel of a plot. */
export interface PlotPanel {
  readonly title: string;
  readonly labels: readonly string[];
  readonly lines: readonly PlotLine[];
}

const WIDTH = 520;
const HEIGHT = 240;
const MARGIN = 44;
const COLOURS = ["#b3372f", "#8a6d1d", "#1f6f54", "#345995"];

/** Draws the panels one below another. */
export function formatPlot(panels: readonly PlotPanel[]): string {
  const height = panels.length * HEIGHT;
  const drawn = panels.map((panel, index) =>
    `<g transform="translate(0 ${index * HEIGHT})">${formatPanel(panel)}</g>`
  );
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif" font-size="11">` +
    `<rect width="100%" height="100%" fill="white"/>${drawn.join("")}</svg>\n`;
}

function formatPanel(panel: PlotPanel): string {
  const values = panel.lines.flatMap((line) => line.values);
  const most = Math.max(1, ...values.filter((value) => value !== undefined));
  const step = (WIDTH - 2 * MARGIN) / Math.max(1, panel.labels.length - 1);
  const bottom = HEIGHT - MARGIN;
  const placeX = (index: number) => MARGIN + index * step;
  const placeY = (value: number) =>
    bottom - value / most * (HEIGHT - 2 * MARGIN);
  const labels = panel.labels.map((label, index) =>
    formatText(placeX(index), bottom + 16, label, "middle")
  );
  const lines = panel.lines.map((line, index) => {
    const colour = COLOURS[index % COLOURS.length]!;
    const points = line.values.flatMap((value, at) =>
      value === undefined
        ? []
        : [`${placeX(at).toFixed(1)},${placeY(value).toFixed(1)}`]
    ).join(" ");
    const name = formatText(MARGIN + 110 * index, 34, line.name, "start");
    return `<polyline points="${points}" fill="none" stroke="${colour}" ` +
      `stroke-width="2"/><g fill="${colour}">${name}</g>`;
  });
  return [
    formatText(MARGIN, 18, panel.title, "start"),
    `<path d="M${MARGIN} ${MARGIN}V${bottom}H${WIDTH - MARGIN}" ` +
    `fill="none" stroke="#555"/>`,
    formatText(MARGIN - 4, MARGIN + 4, most.toFixed(0), "end"),
    formatText(MARGIN - 4, bottom, "0", "end"),
    ...labels,
    ...lines,
  ].join("");
}

function formatText(
  x: number,
  y: number,
  text: string,
  anchor: "start" | "middle" | "end",
): string {
  const escaped = text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" ` +
    `text-anchor="${anchor}">${escaped}</text>`;
}

/** Draws line charts with a category axis as SVG. */

/** One line; points whose value is undefined are omitted. */
export interface PlotLine {
  readonly name: string;
  readonly values: readonly (number | undefined)[];
}

/** One panel of a plot. */
export interface PlotPanel {
  readonly title: string;
  /** Labels of the category axis. */
  readonly labels: readonly string[];
  readonly lines: readonly PlotLine[];
}

/** Size of a panel, in SVG user units. */
const WIDTH = 520;
const HEIGHT = 240;
const MARGIN = 44;
const COLOURS = ["#b3372f", "#8a6d1d", "#1f6f54", "#345995"];

/** Formats the panels as one SVG document, from top to bottom. */
export function formatPlot(panels: readonly PlotPanel[]): string {
  const height = panels.length * HEIGHT;
  const formattedPanels = panels.map((panel, index) =>
    `<g transform="translate(0 ${index * HEIGHT})">${formatPanel(panel)}</g>`
  );
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif" font-size="11">` +
    `<rect width="100%" height="100%" fill="white"/>${
      formattedPanels.join("")
    }</svg>\n`;
}

function formatPanel(panel: PlotPanel): string {
  const values = panel.lines.flatMap((line) => line.values);
  const maxValue = Math.max(
    1,
    ...values.filter((value) => value !== undefined),
  );
  const step = (WIDTH - 2 * MARGIN) / Math.max(1, panel.labels.length - 1);
  const bottom = HEIGHT - MARGIN;
  const computeX = (index: number) => MARGIN + index * step;
  const computeY = (value: number) =>
    bottom - value / maxValue * (HEIGHT - 2 * MARGIN);
  const labels = panel.labels.map((label, index) =>
    formatText(computeX(index), bottom + 16, label, "middle")
  );
  const lines = panel.lines.map((line, index) => {
    const colour = COLOURS[index % COLOURS.length]!;
    const points = line.values.flatMap((value, at) =>
      value === undefined
        ? []
        : [`${computeX(at).toFixed(1)},${computeY(value).toFixed(1)}`]
    ).join(" ");
    const name = formatText(MARGIN + 110 * index, 34, line.name, "start");
    return `<polyline points="${points}" fill="none" stroke="${colour}" ` +
      `stroke-width="2"/><g fill="${colour}">${name}</g>`;
  });
  return [
    formatText(MARGIN, 18, panel.title, "start"),
    `<path d="M${MARGIN} ${MARGIN}V${bottom}H${WIDTH - MARGIN}" ` +
    `fill="none" stroke="#555"/>`,
    formatText(MARGIN - 4, MARGIN + 4, maxValue.toFixed(0), "end"),
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

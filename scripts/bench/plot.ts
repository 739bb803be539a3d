/** Plots the points of a slope and their fitted line as SVG. */
import type { Slope } from './capacityFigures.js'

const width = 480
const height = 260
const margin = 50

/** Draws the plot of one slope. */
export function plotSvg ({ name, unit, per, points, line }: Slope): string {
  const maxX = Math.max(...points.map(([x]) => x))
  const maxY = Math.max(...points.map(([, y]) => y), line.intercept + line.slope * maxX, 1e-9)
  const toX = (x: number): number => margin + x / maxX * (width - 2 * margin)
  const toY = (y: number): number => height - margin - Math.max(0, y) / maxY * (height - 2 * margin)
  const dots = points.map(([x, y]) => `<circle cx="${toX(x).toFixed(1)}" cy="${toY(y).toFixed(1)}" r="4" fill="#1f5fa8"/>`)
  const labels = points.map(([x, y]) => `<text x="${toX(x).toFixed(1)}" y="${height - margin + 16}" font-size="11" text-anchor="middle">${x}</text><text x="${(toX(x) + 6).toFixed(1)}" y="${(toY(y) - 6).toFixed(1)}" font-size="11">${y}</text>`)
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif">`,
    `<rect width="${width}" height="${height}" fill="white"/>`,
    `<text x="${margin}" y="24" font-size="13">${name}, ${unit} by ${per} (r² ${line.r2.toFixed(3)})</text>`,
    `<path d="M${margin},${margin} V${height - margin} H${width - margin}" fill="none" stroke="#444"/>`,
    `<line x1="${toX(0)}" y1="${toY(line.intercept).toFixed(1)}" x2="${toX(maxX)}" y2="${toY(line.intercept + line.slope * maxX).toFixed(1)}" stroke="#b03a2e" stroke-dasharray="5 4"/>`,
    ...dots,
    ...labels,
    '</svg>',
    ''
  ].join('\n')
}

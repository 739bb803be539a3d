/** A small plot of measured points and their line, as SVG. */
import type { Slope } from './capacityFigures.js'

const width = 480
const height = 260
const margin = 50

/** Draws one slope. */
export function plotSvg ({ name, unit, per, points, line }: Slope): string {
  const maxX = Math.max(...points.map(([x]) => x))
  const maxY = Math.max(...points.map(([, y]) => y), line.intercept + line.slope * maxX, 1e-9)
  const atX = (x: number): number => margin + x / maxX * (width - 2 * margin)
  const atY = (y: number): number => height - margin - Math.max(0, y) / maxY * (height - 2 * margin)
  const dots = points.map(([x, y]) => `<circle cx="${atX(x).toFixed(1)}" cy="${atY(y).toFixed(1)}" r="4" fill="#1f5fa8"/>`)
  const labels = points.map(([x, y]) => `<text x="${atX(x).toFixed(1)}" y="${height - margin + 16}" font-size="11" text-anchor="middle">${x}</text><text x="${(atX(x) + 6).toFixed(1)}" y="${(atY(y) - 6).toFixed(1)}" font-size="11">${y}</text>`)
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif">`,
    `<rect width="${width}" height="${height}" fill="white"/>`,
    `<text x="${margin}" y="24" font-size="13">${name}, ${unit} by ${per} (r² ${line.r2.toFixed(3)})</text>`,
    `<path d="M${margin},${margin} V${height - margin} H${width - margin}" fill="none" stroke="#444"/>`,
    `<line x1="${atX(0)}" y1="${atY(line.intercept).toFixed(1)}" x2="${atX(maxX)}" y2="${atY(line.intercept + line.slope * maxX).toFixed(1)}" stroke="#b03a2e" stroke-dasharray="5 4"/>`,
    ...dots,
    ...labels,
    '</svg>',
    ''
  ].join('\n')
}

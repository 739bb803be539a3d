/** Plots the benefit of a replay over time as SVG: a thin line for each seed and a thick line for their mean. */

const width = 640
const height = 240
const margin = 40

/** Draws the plot. Each run has one value per second, between 0 and 1. */
export function plotSeconds (title: string, runs: ReadonlyArray<readonly number[]>): string {
  const seconds = Math.max(1, ...runs.map(run => run.length))
  const mean = Array.from({ length: seconds }, (_, second) => average(runs.flatMap(run => run[second] ?? [])))
  const buildPath = (values: readonly number[]): string => values.map((value, second) => `${second === 0 ? 'M' : 'L'}${toX(second, seconds)},${toY(value)}`).join(' ')
  const axisLabels = [0, 0.25, 0.5, 0.75, 1].map(value => `<text x="6" y="${toY(value)}" font-size="11">${value}</text>`)
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif">`,
    `<rect width="${width}" height="${height}" fill="white"/>`,
    `<text x="${margin}" y="20" font-size="13">${title}: benefit by second, ${seconds} s</text>`,
    ...axisLabels,
    ...runs.map(run => `<path d="${buildPath(run)}" fill="none" stroke="#9bb8d3"/>`),
    `<path d="${buildPath(mean)}" fill="none" stroke="#1f5fa8" stroke-width="2.5"/>`,
    '</svg>',
    ''
  ].join('\n')
}

function toX (second: number, seconds: number): string {
  return (margin + second / seconds * (width - 2 * margin)).toFixed(1)
}

function toY (value: number): string {
  return (height - margin - value * (height - 2 * margin)).toFixed(1)
}

function average (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

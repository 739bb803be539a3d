/** The benefit of a replay over time, as SVG: a thin line for each seed, a thick one for their mean. */

const width = 640
const height = 240
const margin = 40

/** Draws it; each run has one value a second, between 0 and 1. */
export function plotSeconds (title: string, runs: ReadonlyArray<readonly number[]>): string {
  const seconds = Math.max(1, ...runs.map(run => run.length))
  const mean = Array.from({ length: seconds }, (_, second) => average(runs.flatMap(run => run[second] ?? [])))
  const lineOf = (values: readonly number[]): string => values.map((value, second) => `${second === 0 ? 'M' : 'L'}${atX(second, seconds)},${atY(value)}`).join(' ')
  const marks = [0, 0.25, 0.5, 0.75, 1].map(value => `<text x="6" y="${atY(value)}" font-size="11">${value}</text>`)
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif">`,
    `<rect width="${width}" height="${height}" fill="white"/>`,
    `<text x="${margin}" y="20" font-size="13">${title}: benefit by second, ${seconds} s</text>`,
    ...marks,
    ...runs.map(run => `<path d="${lineOf(run)}" fill="none" stroke="#9bb8d3"/>`),
    `<path d="${lineOf(mean)}" fill="none" stroke="#1f5fa8" stroke-width="2.5"/>`,
    '</svg>',
    ''
  ].join('\n')
}

function atX (second: number, seconds: number): string {
  return (margin + second / seconds * (width - 2 * margin)).toFixed(1)
}

function atY (value: number): string {
  return (height - margin - value * (height - 2 * margin)).toFixed(1)
}

function average (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

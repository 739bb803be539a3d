/** The fault matrix with a fixed seed: every fault at every step, and a sample of pairs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { faultKinds, pairCells, runCell, steps } from '@lynxcourse/faults'

const seed = 1
const pairSample = 23

console.log(`seed ${seed}`)

for (const { name } of faultKinds) {
  test(`${name}: at every step`, () => {
    for (const step of steps) {
      const result = runCell({ step, faults: [name] }, seed)
      assert.ok(result.wasInjected, `${step}: the fault did not strike`)
      assert.deepEqual(result.violations, [], `at ${step}`)
    }
  })
}

test('pairs of faults: a fixed sample', () => {
  const cells = pairCells().filter((_, place) => place % pairSample === 0)
  for (const cell of cells) assert.deepEqual(runCell(cell, seed).violations, [], `${cell.step}: ${cell.faults.join(', then ')}`)
})

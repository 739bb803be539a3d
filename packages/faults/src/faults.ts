/**
 * The fault matrix: the project's own decision modules on a small in-memory network, with the faults
 * that the brief names struck at each step, and the promises judged all the while.
 */
export { buildScene, cutOff, killHost, leadsNow, loseDisk, restartHost, runFor, startLoad } from './internal.js'
export { faultKinds, pairCells, runCell, singleCells, steps } from './internal.js'
export type { Cell, CellResult, Guard, Scene, Step, World } from './internal.js'

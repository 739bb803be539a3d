/**
 * The fault matrix: runs the product's decision modules on a small in-memory network, injects each fault at each
 * protocol step, and checks the invariants throughout.
 */
export { buildScene, isolateHost, killHost, isLeader, loseDisk, restartHost, runFor, startLoad } from './internal.js'
export { faultKinds, pairCells, runCell, singleCells, steps } from './internal.js'
export type { Cell, CellResult, Guard, Scene, Step, World } from './internal.js'

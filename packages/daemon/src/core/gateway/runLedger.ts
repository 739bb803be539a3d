/**
 * What is proved about the runs of one request. A refusal promises that the request has not run and never will; without a proof of
 * that, the request is answered as one that may have run, and is not sent again unless it may run more than once.
 */

/** What shows that a send does not run: not a byte of it was written (`unwritten`), or its server rejected it (`rejected`). */
export type SendProof = 'unwritten' | 'rejected'

export interface RunLedger {
  /** Whether the request may run more than once; false until its route is known. */
  isIdempotent: boolean
  /** Number of sends that may have run: those at work, and those that ended without a proof. */
  possibleRuns: number
}

export function createRunLedger (): RunLedger {
  return { isIdempotent: false, possibleRuns: 0 }
}

/** Records that the request is being sent: from now on it may have run, unless `recordSendEnd` gets a proof. */
export function recordSendStart (ledger: RunLedger): void {
  ledger.possibleRuns += 1
}

/**
 * Records the end of a send.
 *
 * @param proof what shows that this send does not run; undefined if it may have run
 */
export function recordSendEnd (ledger: RunLedger, proof: SendProof | undefined): void {
  if (proof !== undefined) ledger.possibleRuns -= 1
}

/** Whether the request may be sent, by this VM or once more by its caller: it has not run, or it may run more than once. */
export function maySend ({ isIdempotent, possibleRuns }: RunLedger): boolean {
  return isIdempotent || possibleRuns === 0
}

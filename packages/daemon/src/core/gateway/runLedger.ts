/**
 * What is proved about the runs of one request. A refusal promises that the request has not run and never will; without a proof of
 * that, the request is answered as one that may have run, and is not sent again unless it may run more than once.
 */

declare const proven: unique symbol

/**
 * What shows that a request does not run: it was sent to no server (`unsent`), not a byte of it was written (`unwritten`), or each server
 * that got it rejected it (`rejected`). A request that may run more than once needs no proof (`repeatable`).
 */
export type ProofKind = 'unsent' | SendProof | 'repeatable'

/** What shows that one send does not run. */
export type SendProof = 'unwritten' | 'rejected'

/** Proof that a request has not run and never will. Created by `getNotRunProof` only. */
export interface NotRunProof {
  readonly [proven]: true
  readonly by: ProofKind
}

export interface RunLedger {
  /** Whether the request may run more than once; false until its route is known. */
  isIdempotent: boolean
  /** What shows that the request has not run; undefined once it may have run. */
  by: 'unsent' | SendProof | undefined
}

export function createRunLedger (): RunLedger {
  return { isIdempotent: false, by: 'unsent' }
}

/** Records that the request is being sent: from now on it may have run, unless `recordSendEnd` gets a proof. */
export function recordSendStart (ledger: RunLedger): void {
  ledger.by = undefined
}

/**
 * Records the end of a send.
 *
 * @param before what had shown that the request has not run before this send
 * @param proof what shows that this send does not run; undefined if it may have run
 */
export function recordSendEnd (ledger: RunLedger, before: RunLedger['by'], proof: SendProof | undefined): void {
  ledger.by = before === undefined ? undefined : proof
}

/** Whether the request may be sent to a server: it has not run, or it may run more than once. */
export function maySend ({ isIdempotent, by }: RunLedger): boolean {
  return isIdempotent || by !== undefined
}

/** Returns the proof by which the request may be refused; undefined if it may have run and must not run again. */
export function getNotRunProof ({ isIdempotent, by }: RunLedger): NotRunProof | undefined {
  if (by !== undefined) return { by } as NotRunProof
  return isIdempotent ? { by: 'repeatable' } as NotRunProof : undefined
}

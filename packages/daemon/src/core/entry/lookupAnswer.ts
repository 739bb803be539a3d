/** Answers to look-ups, kept ready for callers that share one. */

/** An answer ready to be written. */
export interface LookupAnswer {
  readonly body: Buffer
  readonly headers: Readonly<Record<string, string | number>>
}

/** Cached answers to look-ups, shared by callers. */

/** A serialized answer. */
export interface LookupAnswer {
  readonly body: Buffer
  readonly headers: Readonly<Record<string, string | number>>
}

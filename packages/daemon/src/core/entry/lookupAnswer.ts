/** Cached answers to lookups, shared by callers. */

/** A serialized answer. */
export interface LookupAnswer {
  readonly body: Buffer
  readonly headers: Readonly<Record<string, string | number>>
}

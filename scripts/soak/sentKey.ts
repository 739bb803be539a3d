/** The key of a simulated caller's request. */

/** The only team with a limit. */
export const limitedTeam = 'slow'

/** A key that a caller sends, and what servers must hear of it. */
export interface SentKey {
  readonly key: string
  /** The team that holds the key; undefined if no configuration ever held it. */
  readonly team: string | undefined
  /** Version of the routes with which the key was added; undefined for a key that stays. */
  readonly version: number | undefined
}

/** Whether the request must be served: its key stays in force, and its team has no limit. */
export function isOwed ({ sentKey: { team, version } }: { readonly sentKey: SentKey }): boolean {
  return team !== undefined && team !== limitedTeam && version === undefined
}

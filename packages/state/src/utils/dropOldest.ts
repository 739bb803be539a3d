/** Bounds maps whose entries are in the order of their age. */

/** Removes the oldest entry of a map. */
export function dropOldest<Key> (map: Map<Key, unknown>): void {
  const [oldest] = map.keys()
  if (oldest !== undefined) map.delete(oldest)
}

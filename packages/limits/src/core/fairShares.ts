/** Max-min fair division of a cap. */

/**
 * Divides a cap among holders: nobody gets more than it wants while another goes short; what is left
 * over is spread evenly, so that a sudden need finds some room everywhere.
 *
 * @param wants what each holder wants
 * @param cap whole number to divide
 * @returns whole shares in the same order, their sum at most `cap`
 */
export function fairShares (wants: readonly number[], cap: number): number[] {
  const shares = wants.map(() => 0)
  const order = wants.map((_, place) => place).sort((a, b) => (wants[a] ?? 0) - (wants[b] ?? 0))
  let left = cap
  let holders = order.length
  for (const place of order) {
    const share = Math.min(Math.ceil(wants[place] ?? 0), Math.floor(left / holders))
    shares[place] = share
    left -= share
    holders -= 1
  }
  return spreadEvenly(shares, left)
}

function spreadEvenly (shares: readonly number[], left: number): number[] {
  if (shares.length === 0) return []
  const each = Math.floor(left / shares.length)
  const odd = left - each * shares.length
  return shares.map((share, place) => share + each + (place < odd ? 1 : 0))
}

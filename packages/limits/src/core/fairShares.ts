/** Max-min fair division of a cap. */

/**
 * Divides a cap among holders by max-min fairness: no holder receives more than its demand while the demand of
 * another is unmet. Any surplus is spread evenly, so that every holder has some spare capacity for a sudden increase.
 *
 * @param demands the demand of each holder
 * @param cap whole number to divide
 * @returns whole shares in the order of `demands`; their sum is at most `cap`
 */
export function computeFairShares (demands: readonly number[], cap: number): number[] {
  const shares = demands.map(() => 0)
  const order = demands.map((_, index) => index).sort((a, b) => (demands[a] ?? 0) - (demands[b] ?? 0))
  let left = cap
  let holders = order.length
  for (const index of order) {
    const share = Math.min(Math.ceil(demands[index] ?? 0), Math.floor(left / holders))
    shares[index] = share
    left -= share
    holders -= 1
  }
  return spreadEvenly(shares, left)
}

function spreadEvenly (shares: readonly number[], surplus: number): number[] {
  if (shares.length === 0) return []
  const each = Math.floor(surplus / shares.length)
  const remainder = surplus - each * shares.length
  return shares.map((share, index) => share + each + (index < remainder ? 1 : 0))
}

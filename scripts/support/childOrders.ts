/** Orders that a program of the scripts gets from its parent, one answer to each. */

/** Answers the parent's orders until it is gone. */
export function answerOrders<Order> (obey: (order: Order) => Promise<object>): void {
  process.on('message', (order: Order) => {
    obey(order).then(answer => process.send?.(answer), (err: unknown) => process.send?.({ error: String(err) }))
  })
  process.on('disconnect', () => process.exit(0))
}

/** Ends connections so that nothing of a request that was given up is delivered later. */
import type { Socket } from 'node:net'

/**
 * Has a connection reset, not closed, where it ends before the peer answered what was written last.
 *
 * A closed connection goes on in the kernel until the peer has acknowledged everything: what was written during a cut arrives after
 * it has healed, seconds after its sender gave it up. A reset makes the kernel forget it.
 *
 * @param socket one over TCP without TLS
 */
export function resetIfUnanswered (socket: Socket): void {
  const destroy = socket.destroy.bind(socket)
  let answeredBytes = 0
  socket.on('readable', () => { answeredBytes = socket.bytesWritten })
  socket.destroy = err => {
    const isUnanswered = socket.bytesWritten > answeredBytes
    socket.destroy = destroy
    return isUnanswered && !socket.connecting && !socket.destroyed ? socket.resetAndDestroy() : destroy(err)
  }
}

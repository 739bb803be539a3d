/** Resets connections instead of closing them, so that no part of an abandoned request is delivered later. */
import type { Socket } from 'node:net'

/**
 * Replaces `destroy` of a socket, so that the connection is reset instead of closed if the peer has not answered the last
 * write.
 *
 * The kernel keeps sending the data of a closed connection until the peer has acknowledged all of it. Data written during
 * a network partition would arrive after the partition has healed, seconds after its sender abandoned the request. After
 * a reset the kernel discards the data.
 *
 * @param socket a TCP socket without TLS
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

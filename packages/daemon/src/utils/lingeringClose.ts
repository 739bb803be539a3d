/**
 * Closes connections of an HTTP server so that their last answer arrives whole.
 *
 * A socket that is closed with unread bytes, or that receives bytes after its close, is reset. The reset discards what the peer has not
 * received yet, and a peer that is still writing may see its own write fail before it reads the answer. A connection therefore ends with a
 * half-close, and what still arrives is read and discarded until the peer closes.
 */
import type { Socket } from 'node:net'
import type { Millis } from '@lynxcourse/base'
import { discardHeldInput } from './connections/inputGate.js'

/** Longest wait for the close of a caller, after the operating system has taken the last answer. */
const lingerMs: Millis = 5000

/** Sockets that are half-closed and wait for the peer's close. */
export type LingeringSockets = Set<Socket>

/** Replaces the way in which Node closes a connection after an answer with `connection: close`. */
export function lingerAfterLastAnswer (lingering: LingeringSockets, socket: Socket): void {
  socket.destroySoon = () => closeLingering(lingering, socket)
}

/**
 * Half-closes a connection once everything that was written is sent, and discards what arrives until the peer closes. Keeps it in the set
 * until it has closed.
 *
 * @param waitMs longest wait for the peer's close
 */
export function closeLingering (lingering: LingeringSockets, socket: Socket, waitMs = lingerMs): void {
  if (lingering.has(socket) || socket.destroyed) return
  lingering.add(socket)
  socket.once('close', () => lingering.delete(socket))
  // Nothing of what arrives can be answered any more.
  discardInput(socket)
  socket.once('finish', () => setTimeout(() => socket.destroy(), waitMs).unref())
  socket.end()
}

/** Keeps what arrives from the HTTP parser, and reads on, so that the peer's close is noticed. */
export function discardInput (socket: Socket): void {
  discardHeldInput(socket)
  socket.removeAllListeners('data')
  socket.on('data', () => undefined)
  // Node stopped reading if the body of a request was not consumed; an empty push lets the stream start to read again.
  socket.push('')
  socket.resume()
}

/**
 * Checks before a call is processed whether its sender is still connected.
 *
 * On a busy VM, calls wait unread while their senders time out and close their connections. The VM reads the call before
 * the close that follows it, so without this check it processes calls that nobody waits for. The symptom is changes that
 * take effect after their operators got no answer, or after they sent newer changes to another VM.
 */
import type { Socket } from 'node:net'
import { LynxError } from '@lynxcourse/base'
import { waitForPoll } from './pollPhase.js'
import type { PollTracker } from './pollPhase.js'

/**
 * Waits for a poll phase that covers the sender's connection.
 *
 * @throws LynxError `cancelled` if the sender has closed the connection
 */
export async function checkSenderConnected (polls: PollTracker, socket: Socket, step: string): Promise<void> {
  const peer = socket.remoteAddress ?? 'unknown'
  await waitForPoll(polls)
  // The loop reads the end of the sender's data one iteration before the socket counts as destroyed.
  if (socket.destroyed || socket.readableEnded) throw new LynxError('cancelled', 'the sender closed the connection', { step, peer })
}

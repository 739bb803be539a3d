/**
 * Looks whether the sender of a call is still there before the call is taken up.
 *
 * What can go wrong: a VM is behind, and calls lie unread while their senders give them up and close their connections. A close is
 * read after the call before it, so the VM does what nobody waits for any more. It shows as orders that take effect after their
 * operators were told nothing, or sent newer ones elsewhere.
 */
import type { Socket } from 'node:net'
import { LynxError } from '@lynxcourse/base'
import { waitForPoll } from './pollPhase.js'
import type { PollTracker } from './pollPhase.js'

/**
 * Waits for a look at the sender's connection.
 *
 * @throws LynxError `cancelled` if the sender closed it
 */
export async function checkSenderConnected (polls: PollTracker, socket: Socket, step: string): Promise<void> {
  const peer = socket.remoteAddress ?? 'unknown'
  await waitForPoll(polls)
  // The end of what the sender writes is read a turn of the event loop before the connection counts as closed.
  if (socket.destroyed || socket.readableEnded) throw new LynxError('cancelled', 'its sender closed the connection', { step, peer })
}

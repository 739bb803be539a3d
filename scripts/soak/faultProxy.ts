/** A TCP forwarder on loopback whose connections a soak delays, resets, cuts one way or silences. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/**
 * What a forwarder does to bytes: `silence` holds both directions as a cut does, `dropRequests` and `dropAnswers` lose one
 * direction for good, so that only a timeout at an end can tell.
 */
export type LinkFault = 'none' | 'silence' | 'dropRequests' | 'dropAnswers' | 'delay'

/** A forwarder; its fault applies to open connections as well as to new ones. */
export interface FaultProxy extends AsyncDisposable {
  readonly address: string
  readonly server: Server
  target: string
  fault: LinkFault
  readonly pairs: Set<SocketPair>
}

interface SocketPair {
  readonly near: Socket
  readonly far: Socket
  /** What its senders' kernels send again until a silence is over. */
  pending: PendingDelivery[]
  /** A direction that lost bytes stays dead: TCP would not go on after a gap either. */
  isDead: boolean
}

/** Bytes, or the end of a connection, on their way. */
interface PendingDelivery {
  readonly from: Socket
  readonly at: number
  readonly deliver: () => void
}

const delayMs = 120
/** TCP sends again after this, then after twice as long each time. */
const initialRetransmitMs = 1000

/** Starts a forwarder to `IP:port` on a free port of its own. */
export async function startFaultProxy (target: string): Promise<FaultProxy> {
  const server = createServer(near => { connectPair(proxy, near) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const proxy: FaultProxy = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    server,
    target,
    fault: 'none',
    pairs: new Set(),
    [Symbol.asyncDispose]: async () => {
      resetConnections(proxy, 1)
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
  return proxy
}

function connectPair (proxy: FaultProxy, near: Socket): void {
  const [host, port] = proxy.target.split(':')
  const far = connect({ host, port: Number(port), noDelay: true })
  near.setNoDelay(true)
  const sockets: SocketPair = { near, far, pending: [], isDead: false }
  proxy.pairs.add(sockets)
  forward(proxy, sockets, near, far, 'dropRequests')
  forward(proxy, sockets, far, near, 'dropAnswers')
}

function forward (proxy: FaultProxy, sockets: SocketPair, from: Socket, to: Socket, dropFault: LinkFault): void {
  const relay = (deliver: () => void): void => {
    if (proxy.fault === dropFault) sockets.isDead = true
    if (sockets.isDead) return
    if (proxy.fault === 'silence' || sockets.pending.length > 0) sockets.pending.push({ from, at: performance.now(), deliver })
    else if (proxy.fault === 'delay') setTimeout(deliver, delayMs)
    else deliver()
  }
  from.on('data', chunk => relay(() => { if (!to.destroyed) to.write(chunk) }))
  from.on('end', () => relay(() => { to.end() }))
  from.on('error', () => undefined)
  from.on('close', hadError => {
    // The other end may not hear of it for as long as the fault lasts: it is kept until it is closed as well.
    if (to.destroyed) proxy.pairs.delete(sockets)
    // A kernel that resets a connection forgets what it has not got through.
    if (hadError) sockets.pending = sockets.pending.filter(delivery => delivery.from !== from)
    relay(() => { if (hadError) reset(to); else to.destroySoon() })
  })
}

/** Sets a forwarder's fault; what a silence held goes on its way when it is sent again. */
export function setFault (proxy: FaultProxy, fault: LinkFault): void {
  proxy.fault = fault
  if (fault === 'silence') return
  const now = performance.now()
  for (const sockets of proxy.pairs) {
    const [first] = sockets.pending
    if (first !== undefined) setTimeout(() => deliverPending(proxy, sockets), computeRetransmitDelay(first.at, now))
  }
}

function computeRetransmitDelay (sentAt: number, now: number): number {
  let retransmitAt = sentAt + initialRetransmitMs
  for (let pauseMs = 2 * initialRetransmitMs; retransmitAt < now; pauseMs *= 2) retransmitAt += pauseMs
  return retransmitAt - now
}

function deliverPending (proxy: FaultProxy, sockets: SocketPair): void {
  if (proxy.fault === 'silence') return
  for (const { deliver } of sockets.pending.splice(0)) deliver()
}

/** Resets a share of the open connections. */
export function resetConnections (proxy: FaultProxy, share: number, random: () => number = () => 0): void {
  for (const sockets of [...proxy.pairs]) {
    if (random() >= share) continue
    proxy.pairs.delete(sockets)
    reset(sockets.near)
    reset(sockets.far)
  }
}

/** Closes a connection with a reset. One that is being shut down can't be reset any more: Node would leave it open for ever. */
function reset (socket: Socket): void {
  if (socket.writableEnded || socket.connecting) socket.destroy()
  else socket.resetAndDestroy()
}

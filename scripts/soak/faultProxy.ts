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
  held: Held[]
  /** A direction that lost bytes stays dead: TCP would not go on after a gap either. */
  isDead: boolean
}

/** Bytes, or the end of a connection, on their way. */
interface Held {
  readonly from: Socket
  readonly at: number
  readonly arrive: () => void
}

const delayMs = 120
/** TCP sends again after this, then after twice as long each time. */
const firstResendMs = 1000

/** Starts a forwarder to `IP:port` on a free port of its own. */
export async function startFaultProxy (target: string): Promise<FaultProxy> {
  const server = createServer(near => { pair(proxy, near) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const proxy: FaultProxy = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    server,
    target,
    fault: 'none',
    pairs: new Set(),
    [Symbol.asyncDispose]: async () => {
      resetAll(proxy, 1)
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
  return proxy
}

function pair (proxy: FaultProxy, near: Socket): void {
  const [host, port] = proxy.target.split(':')
  const far = connect({ host, port: Number(port), noDelay: true })
  near.setNoDelay(true)
  const sockets: SocketPair = { near, far, held: [], isDead: false }
  proxy.pairs.add(sockets)
  forward(proxy, sockets, near, far, 'dropRequests')
  forward(proxy, sockets, far, near, 'dropAnswers')
}

function forward (proxy: FaultProxy, sockets: SocketPair, from: Socket, to: Socket, dropping: LinkFault): void {
  const pass = (arrive: () => void): void => {
    if (proxy.fault === dropping) sockets.isDead = true
    if (sockets.isDead) return
    if (proxy.fault === 'silence' || sockets.held.length > 0) sockets.held.push({ from, at: performance.now(), arrive })
    else if (proxy.fault === 'delay') setTimeout(arrive, delayMs)
    else arrive()
  }
  from.on('data', chunk => pass(() => { if (!to.destroyed) to.write(chunk) }))
  from.on('end', () => pass(() => { to.end() }))
  from.on('error', () => undefined)
  from.on('close', hadError => {
    // The other end may not hear of it for as long as the fault lasts: it is kept until it is closed as well.
    if (to.destroyed) proxy.pairs.delete(sockets)
    // A kernel that resets a connection forgets what it has not got through.
    if (hadError) sockets.held = sockets.held.filter(held => held.from !== from)
    pass(() => { if (hadError) reset(to); else to.destroySoon() })
  })
}

/** Sets a forwarder's fault; what a silence held goes on its way when it is sent again. */
export function setFault (proxy: FaultProxy, fault: LinkFault): void {
  proxy.fault = fault
  if (fault === 'silence') return
  const now = performance.now()
  for (const sockets of proxy.pairs) {
    const [first] = sockets.held
    if (first !== undefined) setTimeout(() => sendAgain(proxy, sockets), untilResend(first.at, now))
  }
}

function untilResend (sentAt: number, now: number): number {
  let resendAt = sentAt + firstResendMs
  for (let pauseMs = 2 * firstResendMs; resendAt < now; pauseMs *= 2) resendAt += pauseMs
  return resendAt - now
}

function sendAgain (proxy: FaultProxy, sockets: SocketPair): void {
  if (proxy.fault === 'silence') return
  for (const { arrive } of sockets.held.splice(0)) arrive()
}

/** Resets a share of the open connections. */
export function resetAll (proxy: FaultProxy, share: number, random: () => number = () => 0): void {
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

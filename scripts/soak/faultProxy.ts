/** A TCP proxy on loopback that can delay, reset or silence its connections, or drop one direction of them. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/**
 * Fault that a proxy applies: `silence` holds back both directions, as an interrupted link does; `dropRequests` and
 * `dropAnswers` lose one direction for good, so that the ends notice only by a timeout.
 */
export type LinkFault = 'none' | 'silence' | 'dropRequests' | 'dropAnswers' | 'delay'

/** A proxy; its fault applies to open connections as well as to new ones. */
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
  /** Deliveries that TCP retransmits until a silence has ended. */
  pending: PendingDelivery[]
  /** Whether bytes were lost. Nothing is forwarded after that, as TCP delivers nothing after a gap. */
  isDead: boolean
}

/** Bytes or the end of a connection, still to be delivered. */
interface PendingDelivery {
  readonly from: Socket
  readonly at: number
  readonly deliver: () => void
}

const delayMs = 120
/** TCP retransmits after this delay, and doubles it after each retransmission. */
const initialRetransmitMs = 1000

/** Starts a proxy to `IP:port` on a free port of a loopback address. */
export async function startFaultProxy (target: string, host = '127.0.0.1'): Promise<FaultProxy> {
  const server = createServer(near => { connectPair(proxy, near) })
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  const proxy: FaultProxy = {
    address: `${host}:${(server.address() as AddressInfo).port}`,
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

/** Refuses new connections, as the address of an ended process does. */
export function stopAccepting ({ server }: FaultProxy): void {
  if (server.listening) server.close()
}

/** Accepts new connections again at the same address. */
export async function resumeAccepting ({ server, address }: FaultProxy): Promise<void> {
  const [host, port] = address.split(':')
  if (!server.listening) await new Promise<void>(resolve => server.listen(Number(port), host, resolve))
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
    // The close may not reach the other end while the fault lasts, so the pair is kept until both ends are closed.
    if (to.destroyed) proxy.pairs.delete(sockets)
    // A kernel that resets a connection discards the bytes that were not delivered.
    if (hadError) sockets.pending = sockets.pending.filter(delivery => delivery.from !== from)
    relay(() => { if (hadError) reset(to); else to.destroySoon() })
  })
}

/** Sets a proxy's fault. After a silence, pending bytes are delivered when TCP would next retransmit them. */
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

/** Resets a random share of the open connections. */
export function resetConnections (proxy: FaultProxy, share: number, random: () => number = () => 0): void {
  for (const sockets of [...proxy.pairs]) {
    if (random() >= share) continue
    proxy.pairs.delete(sockets)
    reset(sockets.near)
    reset(sockets.far)
  }
}

/**
 * Closes a connection with a reset. A socket that is connecting or shutting down is destroyed instead: Node can't reset
 * a socket that is shutting down and would leave it open forever.
 */
function reset (socket: Socket): void {
  if (socket.writableEnded || socket.connecting) socket.destroy()
  else socket.resetAndDestroy()
}

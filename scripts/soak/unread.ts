/** Whether a VM has read what a caller sent, as the kernel tells: bytes that wait in the VM's receive queue. */
import { readFileSync } from 'node:fs'
import type { Socket } from 'node:net'
import type { FaultProxy } from './faultProxy.js'

/** The kernel's table is read again after this: many callers ask at once, and reading it takes long. */
const freshMs = 50
let table = ''
let readAt = -Infinity

/** Whether bytes of a caller wait behind a forwarder until the VM reads them. */
export function hasUnread (proxy: FaultProxy, sockets: ReadonlySet<Socket>, now: number): boolean {
  const near = new Set([...sockets].map(({ localPort }) => localPort))
  const far = [...proxy.pairs].filter(pair => near.has(pair.near.remotePort)).map(pair => pair.far.localPort)
  const waiting = waitingPorts(presentTable(now), proxy.target)
  return far.some(port => port !== undefined && waiting.has(port))
}

function presentTable (now: number): string {
  if (now <= readAt + freshMs) return table
  table = readFileSync('/proc/net/tcp', 'utf8')
  readAt = now
  return table
}

/** Ports of the peers of a listening address whose bytes wait, from the kernel's table of connections. */
export function waitingPorts (table: string, address: string): Set<number> {
  const local = hexOf(address)
  const rows = table.split('\n').filter(line => line.includes(local)).map(line => line.trim().split(/\s+/))
  return new Set(rows.flatMap(([, at, peer, , queues]) => {
    const waitingBytes = parseInt(queues?.split(':')[1] ?? '0', 16)
    return at === local && waitingBytes > 0 ? [parseInt(peer?.split(':')[1] ?? '', 16)] : []
  }))
}

/** Writes `IPv4:port` as the table does: the bytes of the IP last to first. */
function hexOf (address: string): string {
  const [ip, port] = address.split(':')
  const bytes = ip?.split('.').reverse().map(byte => Number(byte).toString(16).padStart(2, '0')).join('')
  return `${bytes ?? ''}:${Number(port).toString(16).padStart(4, '0')}`.toUpperCase()
}

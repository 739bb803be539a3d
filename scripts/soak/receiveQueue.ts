/** Whether a VM has read what a caller sent, as the kernel tells: bytes that wait in the VM's receive queue. */
import { readFileSync } from 'node:fs'
import type { Socket } from 'node:net'
import type { FaultProxy } from './faultProxy.js'

/** The kernel's table is read again after this: many callers ask at once, and reading it takes long. */
const tableCacheMs = 50
let cachedTable = ''
let cachedAt = -Infinity

/** Whether bytes of a caller wait behind a forwarder until the VM reads them. */
export function hasUnreadBytes (proxy: FaultProxy, sockets: ReadonlySet<Socket>, now: number): boolean {
  const callerPorts = new Set([...sockets].map(({ localPort }) => localPort))
  const proxyPorts = [...proxy.pairs].filter(pair => callerPorts.has(pair.near.remotePort)).map(pair => pair.far.localPort)
  const unreadPorts = findUnreadPorts(readConnectionTable(now), proxy.target)
  return proxyPorts.some(port => port !== undefined && unreadPorts.has(port))
}

function readConnectionTable (now: number): string {
  if (now <= cachedAt + tableCacheMs) return cachedTable
  cachedTable = readFileSync('/proc/net/tcp', 'utf8')
  cachedAt = now
  return cachedTable
}

/** Ports of the peers of a listening address whose bytes wait, from the kernel's table of connections. */
export function findUnreadPorts (table: string, address: string): Set<number> {
  const localAddress = formatTableAddress(address)
  const rows = table.split('\n').filter(line => line.includes(localAddress)).map(line => line.trim().split(/\s+/))
  return new Set(rows.flatMap(([, at, peer, , queues]) => {
    const unreadBytes = parseInt(queues?.split(':')[1] ?? '0', 16)
    return at === localAddress && unreadBytes > 0 ? [parseInt(peer?.split(':')[1] ?? '', 16)] : []
  }))
}

/** Writes `IPv4:port` as the table does: the bytes of the IP last to first. */
function formatTableAddress (address: string): string {
  const [ip, port] = address.split(':')
  const bytes = ip?.split('.').reverse().map(byte => Number(byte).toString(16).padStart(2, '0')).join('')
  return `${bytes ?? ''}:${Number(port).toString(16).padStart(4, '0')}`.toUpperCase()
}

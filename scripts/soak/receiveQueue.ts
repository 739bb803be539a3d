/** Finds requests that a VM has not read yet, by the bytes in the kernel's receive queues of its connections. */
import { readFileSync } from 'node:fs'
import type { Socket } from 'node:net'
import type { FaultProxy } from './faultProxy.js'

/** How long the kernel's connection table is cached: many callers check at the same time, and reading the table is slow. */
const tableCacheMs = 50
let cachedTable = ''
let cachedAt = -Infinity

/** Returns whether a VM behind a proxy has not yet read bytes that a caller sent over one of the sockets. */
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

/** Returns the peer ports of a listening address's connections that have unread bytes, from the text of `/proc/net/tcp`. */
export function findUnreadPorts (table: string, address: string): Set<number> {
  const localAddress = formatTableAddress(address)
  const rows = table.split('\n').filter(line => line.includes(localAddress)).map(line => line.trim().split(/\s+/))
  return new Set(rows.flatMap(([, at, peer, , queues]) => {
    const unreadBytes = parseInt(queues?.split(':')[1] ?? '0', 16)
    return at === localAddress && unreadBytes > 0 ? [parseInt(peer?.split(':')[1] ?? '', 16)] : []
  }))
}

/** Formats `IPv4:port` as in the table: in hexadecimal, with the bytes of the IP address reversed. */
function formatTableAddress (address: string): string {
  const [ip, port] = address.split(':')
  const bytes = ip?.split('.').reverse().map(byte => Number(byte).toString(16).padStart(2, '0')).join('')
  return `${bytes ?? ''}:${Number(port).toString(16).padStart(4, '0')}`.toUpperCase()
}

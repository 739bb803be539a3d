/**
 * Table from callers' address blocks to regions: sorted typed arrays and a first-level index by the
 * top 16 bits, 6 bytes a block. Look-ups neither allocate nor hash.
 */
import ipaddr from 'ipaddr.js'
import { LynxError } from '@lynxcourse/base'
import type { RegionId } from '@lynxcourse/base'

/** One block as it is written: IPv4 in CIDR notation. */
export interface CallerBlock {
  readonly cidr: string
  readonly region: RegionId
}

/** The number in `regionIndexes` that means no region is known. */
export const noRegion = 0xffff

export interface BlockTable {
  readonly regions: readonly RegionId[]
  /** First address of each interval; intervals are disjoint, sorted and cover all addresses. */
  readonly starts: Uint32Array
  readonly regionIndexes: Uint16Array
  /** For each 16-bit prefix, the interval that holds its first address. */
  readonly prefixes: Uint32Array
}

interface Interval {
  readonly start: number
  readonly end: number
  readonly region: number
}

const prefixCount = 1 << 16
const addressEnd = 2 ** 32
const mappedPrefix = '::ffff:'
const zeroCode = 48
/** A dot, seen as a digit. */
const dotDigit = 46 - zeroCode
const maxOctet = 255

/**
 * Builds a table. Where blocks nest, the narrowest counts.
 *
 * @throws LynxError `badSettings` naming the block that is no IPv4 CIDR
 */
export function buildBlockTable (blocks: readonly CallerBlock[]): BlockTable {
  const regions = [...new Set(blocks.map(block => block.region))]
  const numbers = new Map(regions.map((region, number) => [region, number]))
  const intervals = blocks.map((block, place) => intervalOf(block, numbers.get(block.region) ?? noRegion, place))
  intervals.sort((a, b) => a.start - b.start || b.end - a.end)
  return tableOf(regions, flatten(intervals))
}

function intervalOf (block: CallerBlock, region: number, place: number): Interval {
  const [address, bits] = parseCidr(block.cidr, place)
  const size = 2 ** (32 - bits)
  const start = Math.floor(address / size) * size
  return { start, end: start + size, region }
}

function parseCidr (cidr: string, place: number): [number, number] {
  try {
    const [address, bits] = ipaddr.IPv4.parseCIDR(cidr)
    return [numberOf(address.octets), bits]
  } catch (err) {
    throw new LynxError('badSettings', `callerBlocks.${place}.cidr: '${cidr}' is no IPv4 block`, { step: 'build', field: `callerBlocks.${place}.cidr`, cause: err })
  }
}

function numberOf (octets: readonly number[]): number {
  return octets.reduce((sum, octet) => sum * 256 + octet, 0)
}

/** Turns nested blocks into disjoint intervals, with a stack of the blocks that are open. */
function flatten (intervals: readonly Interval[]): Array<[number, number]> {
  const points: Array<[number, number]> = [[0, noRegion]]
  const open: Interval[] = []
  const put = (start: number, region: number): void => {
    if (points.at(-1)?.[0] === start) points.pop()
    if (points.at(-1)?.[1] !== region) points.push([start, region])
  }
  const closeUpTo = (address: number): void => {
    for (let top = open.at(-1); top !== undefined && top.end <= address; top = open.at(-1)) {
      open.pop()
      if (top.end < addressEnd) put(top.end, open.at(-1)?.region ?? noRegion)
    }
  }
  for (const interval of intervals) {
    closeUpTo(interval.start)
    put(interval.start, interval.region)
    open.push(interval)
  }
  closeUpTo(addressEnd)
  return points
}

function tableOf (regions: readonly RegionId[], points: ReadonlyArray<[number, number]>): BlockTable {
  const starts = Uint32Array.from(points, point => point[0])
  const regionOf = Uint16Array.from(points, point => point[1])
  const prefixes = new Uint32Array(prefixCount + 1)
  let interval = 0
  for (let prefix = 0; prefix < prefixCount; prefix++) {
    const first = prefix * prefixCount
    while (interval + 1 < starts.length && (starts[interval + 1] ?? 0) <= first) interval += 1
    prefixes[prefix] = interval
  }
  prefixes[prefixCount] = starts.length - 1
  return { regions, starts, regionIndexes: regionOf, prefixes }
}

/**
 * Number of the region of an address.
 *
 * @param address IPv4 as an unsigned 32-bit number
 * @returns index into `regions`, or `noRegion`
 */
export function findRegionIndex (table: BlockTable, address: number): number {
  const prefix = address >>> 16
  let low = table.prefixes[prefix] as number
  let high = table.prefixes[prefix + 1] as number
  const { starts } = table
  while (low < high) {
    const middle = (low + high + 1) >>> 1
    if ((starts[middle] as number) <= address) low = middle
    else high = middle - 1
  }
  return table.regionIndexes[low] as number
}

/** Region of an address; undefined when no block holds it. */
export function findRegion (table: BlockTable, address: number): RegionId | undefined {
  const number = findRegionIndex(table, address)
  return number === noRegion ? undefined : table.regions[number]
}

/**
 * Reads an IPv4 address, also one mapped into IPv6, as a socket gives it.
 *
 * @returns an unsigned 32-bit number, or undefined for anything else
 */
export function parseIpv4 (text: string): number | undefined {
  const start = text.startsWith(mappedPrefix) ? mappedPrefix.length : 0
  let address = 0
  let octet = -1
  let octets = 0
  // By hand, not by the library: this runs for each look-up, and the library's patterns take microseconds.
  for (let at = start; at <= text.length; at++) {
    const digit = at < text.length ? text.charCodeAt(at) - zeroCode : dotDigit
    if (digit === dotDigit) {
      if (octet < 0 || octet > maxOctet) return undefined
      address = address * 256 + octet
      octets += 1
      octet = -1
    } else {
      if (digit < 0 || digit > 9) return undefined
      octet = Math.max(0, octet) * 10 + digit
    }
  }
  return octets === 4 ? address : undefined
}

/** Bytes that a table takes. */
export function getTableBytes (table: BlockTable): number {
  return table.starts.byteLength + table.regionIndexes.byteLength + table.prefixes.byteLength
}

/** The /24 of an address, spread over 32 bits: callers of one block stay together. */
export function hashBlock (address: number): number {
  let hash = (address >>> 8) + 0x9e3779b9
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

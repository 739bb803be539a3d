/**
 * Maps callers' address blocks to regions. The table consists of sorted typed arrays, with 6 bytes for each interval,
 * and an index by the top 16 bits of the address. Lookups neither allocate nor hash.
 */
import ipaddr from 'ipaddr.js'
import { LynxError } from '@lynxcourse/base'
import type { RegionId } from '@lynxcourse/base'

/** An IPv4 block in CIDR notation, and the region of its callers. */
export interface CallerBlock {
  readonly cidr: string
  readonly region: RegionId
}

/** Region index of addresses that no block contains. */
export const noRegion = 0xffff

export interface BlockTable {
  readonly regions: readonly RegionId[]
  /** First address of each interval. Intervals are sorted and disjoint, and cover the whole address space. */
  readonly starts: Uint32Array
  /** Region index of each interval, or `noRegion`. */
  readonly regionIndexes: Uint16Array
  /** For each 16-bit prefix, the index of the interval that contains its first address. */
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
/** Code of a dot, less the code of the digit 0. */
const dotDigit = 46 - zeroCode
const maxOctet = 255

/**
 * Builds a table. An address in nested blocks gets the region of the narrowest one.
 *
 * @throws LynxError `badSettings` with the index of the first block that is not an IPv4 CIDR block
 */
export function buildBlockTable (blocks: readonly CallerBlock[]): BlockTable {
  const regions = [...new Set(blocks.map(block => block.region))]
  const regionIndexes = new Map(regions.map((region, index) => [region, index]))
  const intervals = blocks.map((block, blockIndex) => toInterval(block, regionIndexes.get(block.region) ?? noRegion, blockIndex))
  intervals.sort((a, b) => a.start - b.start || b.end - a.end)
  return createTable(regions, flatten(intervals))
}

function toInterval (block: CallerBlock, region: number, blockIndex: number): Interval {
  const [address, bits] = parseCidr(block.cidr, blockIndex)
  const size = 2 ** (32 - bits)
  const start = Math.floor(address / size) * size
  return { start, end: start + size, region }
}

function parseCidr (cidr: string, blockIndex: number): [number, number] {
  try {
    const [address, bits] = ipaddr.IPv4.parseCIDR(cidr)
    return [octetsToNumber(address.octets), bits]
  } catch (err) {
    throw new LynxError('badSettings', `callerBlocks.${blockIndex}.cidr: '${cidr}' is not an IPv4 CIDR block`, { step: 'build', field: `callerBlocks.${blockIndex}.cidr`, cause: err })
  }
}

function octetsToNumber (octets: readonly number[]): number {
  return octets.reduce((sum, octet) => sum * 256 + octet, 0)
}

/** Splits sorted, nested blocks into disjoint intervals. A stack holds the blocks that contain the current address. */
function flatten (intervals: readonly Interval[]): Array<[number, number]> {
  const points: Array<[number, number]> = [[0, noRegion]]
  const enclosing: Interval[] = []
  const addPoint = (start: number, region: number): void => {
    if (points.at(-1)?.[0] === start) points.pop()
    if (points.at(-1)?.[1] !== region) points.push([start, region])
  }
  const closeUpTo = (address: number): void => {
    for (let top = enclosing.at(-1); top !== undefined && top.end <= address; top = enclosing.at(-1)) {
      enclosing.pop()
      if (top.end < addressEnd) addPoint(top.end, enclosing.at(-1)?.region ?? noRegion)
    }
  }
  for (const interval of intervals) {
    closeUpTo(interval.start)
    addPoint(interval.start, interval.region)
    enclosing.push(interval)
  }
  closeUpTo(addressEnd)
  return points
}

function createTable (regions: readonly RegionId[], points: ReadonlyArray<[number, number]>): BlockTable {
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
 * Finds the region index of an address.
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

/** Returns the region of an address, or undefined when no block contains the address. */
export function findRegion (table: BlockTable, address: number): RegionId | undefined {
  const index = findRegionIndex(table, address)
  return index === noRegion ? undefined : table.regions[index]
}

/**
 * Parses an IPv4 address as reported by a socket, including one mapped into IPv6.
 *
 * @returns an unsigned 32-bit number, or undefined for anything else
 */
export function parseIpv4 (text: string): number | undefined {
  const start = text.startsWith(mappedPrefix) ? mappedPrefix.length : 0
  let address = 0
  let octet = -1
  let octets = 0
  // Parsed by hand, because this runs for each lookup and the regular expressions of ipaddr.js take microseconds.
  for (let position = start; position <= text.length; position++) {
    const digit = position < text.length ? text.charCodeAt(position) - zeroCode : dotDigit
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

/** Returns the size of a table's arrays in bytes. */
export function getTableBytes (table: BlockTable): number {
  return table.starts.byteLength + table.regionIndexes.byteLength + table.prefixes.byteLength
}

/** Hashes the /24 block of an address to 32 bits, so that all callers of a /24 block share one hash. */
export function hashBlock (address: number): number {
  let hash = (address >>> 8) + 0x9e3779b9
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

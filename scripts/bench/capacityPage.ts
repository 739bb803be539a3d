/** Generates docs/CAPACITY.md and its plots from the figures of a run, so that the page always matches the run. */
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import type { CapacityFigures, Slope } from './capacityFigures.js'
import { round } from './measure.js'
import { plotSvg } from './plot.js'

const docs = fileURLToPath(new URL('../../../docs/', import.meta.url))

/** A system size for which the page computes its tables. */
interface Size {
  readonly name: string
  readonly nodes: number
  readonly regions: number
  readonly domains: number
  readonly sites: number
  readonly blocks: number
  readonly lookups: number
  readonly changesPerDay: number
  readonly control: number
}

const sizes: readonly Size[] = [
  { name: 'today', nodes: 12, regions: 3, domains: 6, sites: 6, blocks: 1000, lookups: 1000, changesPerDay: 50, control: 3 },
  { name: '280 nodes', nodes: 280, regions: 10, domains: 25, sites: 260, blocks: 86_000, lookups: 470_000, changesPerDay: 980, control: 13 },
  { name: 'target', nodes: 2800, regions: 41, domains: 117, sites: 2600, blocks: 860_000, lookups: 4_700_000, changesPerDay: 9800, control: 42 }
]

/** Assumptions, since the target doesn't specify these values. */
const serversPerSite = 20
const claimsPerNode = 2
const itemBytes = 500
const secondsPerDay = 86_400
const restartsPerDay = 390
const refreshSeconds = 5

interface Limits { readonly cpu: number, readonly mb: number, readonly bytes: number }
const limits: Limits = { cpu: 2, mb: 64, bytes: 24_000 }

type GetSlope = (name: string) => number

function findSlope (figures: CapacityFigures, name: string): Slope {
  const found = figures.slopes.find(slope => slope.name === name)
  if (found === undefined) throw new Error(`no slope '${name}'`)
  return found
}

function formatNumber (value: number): string {
  if (!Number.isFinite(value)) return '-'
  if (Math.abs(value) >= 10_000) return Math.round(value).toLocaleString('en-US')
  return String(round(value))
}

function formatRow (...cells: Array<string | number>): string {
  return `| ${cells.map(cell => typeof cell === 'number' ? formatNumber(cell) : cell).join(' | ')} |`
}

function formatTable (head: readonly string[], rows: readonly string[]): string[] {
  return [formatRow(...head), `|${head.map(() => '---').join('|')}|`, ...rows]
}

function formatWithLimit (value: number, limit: number): string {
  return `${formatNumber(value)}${value > limit ? ' **over**' : ''}`
}

/** Returns the number of records that each node stores: one for each VM and each server. */
function countRecords (size: Size): number {
  return size.nodes + (size.name === 'today' ? 74 : size.sites * serversPerSite)
}

function formatEntryRows (getSlope: GetSlope, figures: CapacityFigures): string[] {
  const perMember = getSlope('control traffic at all control VMs')
  return sizes.map(size => {
    const records = countRecords(size)
    const refreshed = records / size.nodes * getSlope('bytes to pass all records on once') / refreshSeconds
    const traffic = perMember + refreshed + size.changesPerDay / secondsPerDay * itemBytes
    const stateMb = records * getSlope('directory memory') / 1e6 + size.blocks * getSlope('look-up table memory') / 1e6
    const controlMb = getSlope('memory of members in shared processes') + stateMb
    return formatRow(size.name, records, formatWithLimit(getSlope('processor share of members'), limits.cpu), formatWithLimit(controlMb, limits.mb), (figures.single['entryProcessMb'] ?? NaN) + stateMb,
      formatWithLimit(traffic, limits.bytes), records * getSlope('bytes to pass all records on once') / 1e6, size.lookups / size.nodes, 1)
  })
}

function formatRelayRows (getSlope: GetSlope): string[] {
  return sizes.map(size => {
    const children = size.nodes / Math.max(1, size.control - (size.control > 3 ? 1 : 0))
    const cpu = children * getSlope('leader processor share')
    const up = countRecords(size) / size.control * getSlope('bytes to pass all records on once') / refreshSeconds
    return formatRow(size.name, children, cpu, children * getSlope('control traffic at all control VMs') / 2 + up, children)
  })
}

function formatLeaderRows (getSlope: GetSlope, idle: number): string[] {
  return sizes.map(size => {
    const reports = idle + size.nodes * getSlope('leader processor share')
    const refresh = countRecords(size) / refreshSeconds * getSlope('processor time of one refresh, both ends') / 1e6 * 100
    const syncs = size.changesPerDay / secondsPerDay
    return formatRow(size.name, formatWithLimit(reports, 100), formatWithLimit(refresh, 100), syncs, countRecords(size) * getSlope('directory memory') / 1e6, size.nodes + size.control)
  })
}

function formatClaimRows (getSlope: GetSlope, figures: CapacityFigures): string[] {
  return sizes.map(size => {
    const rate = size.nodes * claimsPerNode
    const cpu = rate * getSlope('leader processor share by claims')
    const kept = rate * 600
    return formatRow(size.name, rate, formatWithLimit(cpu, 100), rate * getSlope('bytes into control VMs by claims'), kept > 200_000 ? `${formatNumber(kept)} **over** 200,000` : kept,
      kept * getSlope('register memory') / 1e6, kept * getSlope('snapshot size') / 1e6, Math.min(rate, figures.single['diskSyncsPerSecondAt2000'] ?? NaN))
  })
}

function formatSlopeRows (figures: CapacityFigures): string[] {
  return figures.slopes.map(({ name, unit, per, line, points }) =>
    formatRow(name, `${formatNumber(line.slope)} ${unit} per ${per}`, formatNumber(line.intercept), line.r2 < 0.9 ? `${formatNumber(line.r2)} **no line**` : formatNumber(line.r2), points.map(([x, y]) => `${formatNumber(x)}: ${formatNumber(y)}`).join('; ')))
}

const limitations: ReadonlyArray<readonly string[]> = [
  ['every node holds every record', 'directory memory and the first sync grow with all VMs and servers', 'scope records to the regions that a node\'s profiles name, and to a subset of their servers'],
  ['reports go to the leader', 'its processor share grows with all nodes', 'relays add reports up, and grants are shared twice: leader to region, region to VM'],
  ['refreshes reach the root', 'each record is repeated to the leader every 5 s', 'a relay refreshes its region as one (count and hash), and records only when they change'],
  ['one group keeps all claims', 'one leader\'s core, and two round trips between regions', 'groups by hash of the id over the 42 control VMs, or groups per region with a witness (docs/DESIGN.md has the latencies)'],
  ['a snapshot is one message', 'over the RPC size at large registers', 'chunks'],
  ['any VM may use any server of its places', 'a server sees slots × VMs connections', 'the `slots` policy: a server sees its slots and no more; or subsets']
]

function formatConnectionRow (size: Size): string {
  const perRegion = Math.ceil(size.nodes / size.regions)
  return formatRow(size.name, perRegion, perRegion * 3, size.nodes * 3, 3)
}

function formatQuestions (figures: CapacityFigures, getSlope: GetSlope): string[] {
  const target = sizes[2] as Size
  const changeBytes = target.changesPerDay / secondsPerDay * itemBytes
  const fullMb = countRecords(target) * getSlope('bytes to pass all records on once') / 1e6
  const nodesPerDomain = target.nodes / target.domains
  const serversPerDomain = target.sites / target.domains * serversPerSite
  const lossBytes = (nodesPerDomain + serversPerDomain) * getSlope('bytes to pass all records on once')
  return [
    '## Questions', '',
    `**Who spreads ${target.changesPerDay.toLocaleString('en-US')} changes a day to ${target.nodes.toLocaleString('en-US')} nodes?** The tree: the leader to the other control VMs, each of those to the nodes of its region; a node asks one parent twice a second and gets what changed. With ${itemBytes} bytes a change (assumed) that is ${formatNumber(changeBytes)} bytes/s on a node's only link and ${formatNumber(changeBytes * target.nodes / target.regions)} bytes/s on a relay. Measured: ${formatNumber(figures.single['spreadP50Ms'] ?? NaN)} ms at the median and ${formatNumber(figures.single['spreadMaxMs'] ?? NaN)} ms at most from submission until the last of 300 nodes had a change (${figures.single['spreadChanges']} changes).`, '',
    `**What does a restart of ${restartsPerDay} nodes a day cost?** Each gets all records once: ${formatNumber(fullMb)} MB with today's code at the target, ${formatNumber(fullMb * 1e6 / limits.bytes)} s at 24 KB/s: **over**. Scoped to one region of 41 it is ${formatNumber(fullMb / target.regions * 1000)} KB. A control VM that was away for ${figures.single['restartChanges']} changes was ready ${formatNumber(figures.single['restartAfterChangesMs'] ?? NaN)} ms after its start; one with an emptied disk was a voter again after ${formatNumber(figures.single['emptyDiskToVoterMs'] ?? NaN)} ms (measured).`, '',
    `**What does a lost failure domain make everyone else do at once?** About ${formatNumber(nodesPerDomain)} nodes and ${formatNumber(serversPerDomain)} servers (assumed ${serversPerSite} a site) go. Each remaining node gets their ends once, ${formatNumber(lossBytes / 1000)} KB, spread over the time in which they are missed (2 to 5 s for VMs, 6 s for servers): ${formatNumber(lossBytes / 5)} bytes/s${lossBytes / 5 > limits.bytes ? ' **over**' : ''}. Callers go to the next VM of their own list, which differs by block, so the load of one lost VM spreads over all VMs of the region. Server policies by rendezvous hashing move only what the lost VMs held. Claims of the lost VMs stay spent; their callers hear \`unknown\`. Shares of caps of the lost VMs are free again after the grant's life and the longest deadline.`, '',
    '**What stays within a region when regions lose each other?** A region without the leader\'s quorum loses its leases after 4 s: by profile its VMs refuse, or serve reads from their own region\'s servers where no cap applies. Changes and claims wait for the side with the quorum. That side goes on; it waits until leases and grants of the other have run out before it relies on their end.', '',
    '**How many connections does a server with 330 see?**', '',
    ...formatTable(['size', 'VMs in its region', 'policy alone, region only', 'policy alone, all regions', 'policy slots'], sizes.map(formatConnectionRow)), ''
  ]
}

/** Writes the page and the plots. */
export function writeCapacityPage (figures: CapacityFigures): void {
  const getSlope: GetSlope = name => findSlope(figures, name).line.slope
  const plots = ['leader processor share', 'control traffic at all control VMs', 'leader processor share by claims']
  for (const name of plots) writeFileSync(`${docs}capacity-${name.replaceAll(' ', '-')}.svg`, plotSvg(findSlope(figures, name)))
  const lines = [
    '# Capacity', '',
    `Made by \`npm run bench -- capacity\` from the run of ${figures.date} (docs/capacity.json: ${figures.machine.cores} cores, Node ${figures.machine.node}); do not edit. **over** marks what misses a limit of the target with today's code.`, '',
    'Measured: the slopes and single figures at the end. Worked out: every figure in the tables for 280 nodes and the target, by a slope times a size. Assumed: ' +
    `${serversPerSite} servers a site, ${claimsPerNode} claims a second and node, ${itemBytes} bytes a change. Not measured: anything over 300 nodes, networks with real delays or losses, disks other than this machine's.`, '',
    'Limits of the target: 2 % of a core, 64 MB and 24 KB/s a node for control; 8 s for a change; 42 control VMs.', '',
    '## Entry VM', '',
    'Mechanism: asks one parent twice a second (`membership/core/syncTree.ts`), reports to the leader twice a second, holds the directory and the look-up table. Control memory is the slope of nodes that share a process plus the state; the whole process is beside it, since Node and the libraries alone take ' + `${formatNumber(figures.single['bareProcessMb'] ?? NaN)} MB.`, '',
    ...formatTable(['size', 'records', 'processor, %', 'control memory, MB', 'whole process, MB', 'bytes/s', 'first sync, MB', 'look-ups/s', 'control connections'], formatEntryRows(getSlope, figures)), '',
    '## Relay (a control VM that does not lead)', '',
    'Mechanism: answers the nodes of its region, passes their records up and changes down. One core is set aside.', '',
    ...formatTable(['size', 'nodes below', 'processor, %', 'bytes/s', 'connections'], formatRelayRows(getSlope)), '',
    '## Leader', '',
    'Mechanism: the replicated log (`agreement`), reports and shares of caps (`limits`), plans of drains and shifts (`steering`).', '',
    ...formatTable(['size', 'idle and reports: processor, %', 'refreshes: processor, %', 'files synced a second (changes)', 'directory, MB', 'connections'], formatLeaderRows(getSlope, findSlope(figures, 'leader processor share').line.intercept)), '',
    '## Keepers of claims (the same control VMs)', '',
    'Mechanism: claims and their ends are entries of the log, batched into one sync; kept for 600 s (`state/core/claims.ts`). Between 250 and 2,000 claims a second the processor share hardly grows (its points are no line): each batch costs, and batches grow. The column is that weak slope, so read it as a lower bound; the floor is the first point of the slope\'s row below.', '',
    ...formatTable(['size', 'claims/s', 'leader processor, %', 'bytes/s', 'records kept', 'memory, MB', 'snapshot, MB', 'files synced a second'], formatClaimRows(getSlope, figures)), '',
    '## Command line', '',
    'One process for each command; it holds no state and asks one VM: a change is one message and `--wait` asks five times a second. 9,800 changes a day are 0.11 a second, against ' + `${formatNumber(figures.single['changesPerSecondOneByOne'] ?? NaN)} a second measured one after the other.`, '',
    '## Where today\'s code misses the target', '',
    ...formatTable(['what', 'why', 'what would mend it'], limitations.map(miss => formatRow(...miss))), '',
    ...formatQuestions(figures, getSlope),
    '## Look-up table', '',
    `Measured with ${formatNumber(figures.single['blocks'] ?? NaN)} blocks: ${figures.single['tableMB']} MB, built in ${formatNumber(figures.single['buildMs'] ?? NaN)} ms, ${formatNumber(figures.single['blockToRegionPerSecond'] ?? NaN)} blocks found a second on one core, ${formatNumber(figures.single['wholeLookupPerSecond'] ?? NaN)} whole look-up decisions a second. A node's share at the target is ${formatNumber(4_700_000 / 2800)} look-ups a second.`, '',
    '## Slopes', '',
    ...plots.map(name => `![${name}](capacity-${name.replaceAll(' ', '-')}.svg)`), '',
    ...formatTable(['what', 'slope', 'at zero', 'r²', 'points'], formatSlopeRows(figures)), '',
    '## Single figures', '',
    ...formatTable(['figure', 'value'], Object.entries(figures.single).map(([name, value]) => formatRow(name, value))), ''
  ]
  writeFileSync(`${docs}CAPACITY.md`, lines.join('\n'))
}

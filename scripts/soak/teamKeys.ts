/** Teams of the simulated callers: their keys, the keys that callers send, and what must hold for both. */
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { brandId } from '@lynxcourse/base'
import type { Random, TeamName } from '@lynxcourse/base'
import type { Team } from '@lynxcourse/state'
import { bounds, isVmFaultFree } from './history.js'
import { isOwed, limitedTeam } from './sentKey.js'
import type { SentKey } from './sentKey.js'
import type { Run, SoakHistory } from './history.js'

/** Beginning of every key, so that a key is found wherever it does not belong. */
const keyPrefix = 'soakkey-'
/** The teams without a limit, to which callers belong. */
const openTeams = ['blue', 'green']
/** The team whose second key changes with each version of the routes. */
const rotatingTeam = 'blue'

/** Shares of requests with other keys than the caller's own. */
const limitedShare = 0.06
const unknownShare = 0.05
const rotatingShare = 0.08
/** How many versions back a caller may take a key that was taken away. */
const maxKeyAge = 3

/** Returns the teams of a version of the routes. */
export function createTeams (version: number): Team[] {
  const create = (name: string, keys: string[], limits: Pick<Team, 'ratePerSecond' | 'burst'>): Team => ({ name: brandId<TeamName>(name), keys, rank: undefined, homes: [], annotations: {}, ...limits })
  const unlimited = { ratePerSecond: 0, burst: 0 }
  return [
    ...openTeams.map(name => create(name, name === rotatingTeam ? [getStandingKey(name), getRotatingKey(version)] : [getStandingKey(name)], unlimited)),
    create(limitedTeam, [getStandingKey(limitedTeam)], bounds.teamRate)
  ]
}

function getStandingKey (team: string): string {
  return `${keyPrefix}${team}`
}

function getRotatingKey (version: number): string {
  return `${keyPrefix}rotating-${version}`
}

/** Draws the key of a request: mostly the caller's own. */
export function drawKey (random: Random, callerIndex: number, newestVersion: number): SentKey {
  const draw = random()
  if (draw < limitedShare) return { key: getStandingKey(limitedTeam), team: limitedTeam, version: undefined }
  if (draw < limitedShare + unknownShare) return { key: `${keyPrefix}unknown`, team: undefined, version: undefined }
  if (draw < limitedShare + unknownShare + rotatingShare) {
    const version = Math.max(0, newestVersion - Math.floor(random() * maxKeyAge))
    return { key: getRotatingKey(version), team: rotatingTeam, version }
  }
  const team = openTeams[callerIndex % openTeams.length] ?? rotatingTeam
  return { key: getStandingKey(team), team, version: undefined }
}

/** Checks what servers saw of keys and teams, and which keys were accepted. */
export function checkTeams (history: SoakHistory): string[] {
  return [...history.runs.flatMap(run => checkRunTeam(history, run)), ...checkDenied(history), ...checkTeamRate(history)]
}

function checkRunTeam (history: SoakHistory, run: Run): string[] {
  const attempt = history.attempts.get(run.id)
  if (attempt === undefined) return []
  const { sentKey: { team, version }, entry, sentAt } = attempt
  const violations: string[] = []
  if (run.headerText.includes(keyPrefix)) violations.push(`key: ${run.server} received a key with ${run.id}`)
  if (team === undefined) violations.push(`unknown: ${run.server} ran ${run.id}, whose key never existed`)
  else if (run.team !== team) violations.push(`team: ${run.server} ran ${run.id} for ${run.team ?? 'no team'}, but its key belongs to ${team}`)
  const revoked = version === undefined ? undefined : history.confirmed.find(change => change.type === 'change' && change.version > version && sentAt > change.at + bounds.changeMs)
  if (revoked !== undefined && isVmFaultFree(history, entry, sentAt) && isVmFaultFree(history, entry, run.at)) violations.push(`revoked: ${run.server} ran ${run.id} ${Math.round(sentAt - revoked.at)} ms after its key was taken away`)
  return violations
}

function checkDenied (history: SoakHistory): string[] {
  return [...history.attempts.values()].flatMap(attempt =>
    isOwed(attempt) && attempt.end?.type === 'answer' && attempt.end.status === 401 ? [`denied: ${attempt.id} got 401 from ${attempt.entry} for a key that always existed`] : [])
}

/** Checks that in no window more requests of the limited team were sent and reached servers than its limit allows. */
function checkTeamRate (history: SoakHistory): string[] {
  const { ratePerSecond, burst } = bounds.teamRate
  const allowed = ratePerSecond * bounds.teamRateWindowMs / 1000 + burst
  const sent = history.runs.flatMap(run => {
    const attempt = history.attempts.get(run.id)
    return attempt?.sentKey.team === limitedTeam ? [{ sentAt: attempt.sentAt, readAt: run.readAt }] : []
  })
  for (const { sentAt: from } of sent) {
    const count = sent.filter(({ sentAt, readAt }) => sentAt >= from && readAt <= from + bounds.teamRateWindowMs).length
    if (count > allowed) return [`rate: ${count} requests of ${limitedTeam} ran within ${bounds.teamRateWindowMs} ms; ${allowed} are allowed`]
  }
  return []
}

/** Checks that no log of the VMs contains a key. */
export function checkLogs (folder: string): string[] {
  const logs = readdirSync(folder).filter(name => name.endsWith('.log'))
  return logs.flatMap(name => readFileSync(join(folder, name), 'utf8').includes(keyPrefix) ? [`leak: ${name} contains a key`] : [])
}

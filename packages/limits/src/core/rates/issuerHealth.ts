/**
 * What an entry VM knows of the control VMs that issue permits: how fast each answers and which of them fail.
 *
 * An issuer that answers late is busy or far away. Its answer still counts, but requests that wait ask another issuer.
 */
import type { Millis, Random } from '@lynxcourse/base'
import { permitTtlMs } from './ratePlan.js'

interface IssuerState {
  /** Smoothed answer time and its mean deviation; undefined before the first answer. */
  answerMs: Millis | undefined
  deviationMs: Millis
  /** Number of questions in a row that failed. */
  failures: number
  /** Time until which the issuer is left alone if another one can be asked, and if none can. */
  avoidUntil: Millis
  retryAt: Millis
  /** When the open question was asked; undefined if there is none. */
  askedAt: Millis | undefined
}

/** What all teams' requests for permits have in common. */
export type IssuerHealth = Map<string, IssuerState>

/** Time after which a question is given up: the permits of a later answer would have expired. */
export const askTimeoutMs: Millis = permitTtlMs
/** Bounds of the time after which an answer counts as late. A control VM in another region answers in 70 ms. */
const minPatienceMs: Millis = 40
const maxPatienceMs: Millis = 250
const firstPatienceMs: Millis = 150
/** Weights of a new answer time in the smoothed values, and how many deviations an answer may take longer. */
const answerWeight = 1 / 8
const deviationWeight = 1 / 4
const deviations = 4
/** Bounds of the time for which a failed issuer is left alone; it doubles with each failure in a row. */
const minAvoidMs: Millis = 250
const maxAvoidMs: Millis = 4000
/** Fraction by which these times vary, so that entry VMs don't return together. */
const spread = 0.5

function getIssuer (health: IssuerHealth, address: string): IssuerState {
  const known = health.get(address)
  if (known !== undefined) return known
  const created: IssuerState = { answerMs: undefined, deviationMs: 0, failures: 0, avoidUntil: 0, retryAt: 0, askedAt: undefined }
  health.set(address, created)
  return created
}

/** Records that an issuer is asked. */
export function beginQuestion (health: IssuerHealth, address: string, now: Millis): void {
  getIssuer(health, address).askedAt = now
}

/** Records that an issuer answered. */
export function endQuestion (health: IssuerHealth, address: string, now: Millis): void {
  const issuer = getIssuer(health, address)
  if (issuer.askedAt !== undefined) recordAnswerTime(issuer, now - issuer.askedAt)
  Object.assign(issuer, { failures: 0, avoidUntil: 0, retryAt: 0, askedAt: undefined })
}

function recordAnswerTime (issuer: IssuerState, answerMs: Millis): void {
  if (issuer.answerMs === undefined) {
    Object.assign(issuer, { answerMs, deviationMs: answerMs / 2 })
    return
  }
  issuer.deviationMs += deviationWeight * (Math.abs(answerMs - issuer.answerMs) - issuer.deviationMs)
  issuer.answerMs += answerWeight * (answerMs - issuer.answerMs)
}

/** Records that an issuer could not be reached, did not answer in time, or issues no permits now. */
export function failQuestion (health: IssuerHealth, address: string, random: Random, now: Millis): void {
  const issuer = getIssuer(health, address)
  issuer.askedAt = undefined
  issuer.failures += 1
  const factor = 1 - spread / 2 + spread * random()
  issuer.retryAt = now + minAvoidMs * factor
  issuer.avoidUntil = now + Math.min(maxAvoidMs, minAvoidMs * 2 ** (issuer.failures - 1)) * factor
}

/** Whether a question to an issuer is open. */
export function isAsked (health: IssuerHealth, address: string): boolean {
  return health.get(address)?.askedAt !== undefined
}

/** Whether an issuer has not answered the open question for longer than usual. */
export function isLate (health: IssuerHealth, address: string, now: Millis): boolean {
  const issuer = health.get(address)
  return issuer?.askedAt !== undefined && now - issuer.askedAt >= computePatience(issuer)
}

function computePatience ({ answerMs, deviationMs }: IssuerState): Millis {
  if (answerMs === undefined) return firstPatienceMs
  return Math.min(maxPatienceMs, Math.max(minPatienceMs, answerMs + deviations * deviationMs))
}

/** Whether the last question to an issuer did not fail, as far as is known. */
export function isHealthy (health: IssuerHealth, address: string): boolean {
  return (health.get(address)?.failures ?? 0) === 0
}

/**
 * Returns the time from which an issuer may be asked.
 *
 * @param isAlone whether no issuer answers, so that a failed one is as good as the others
 */
export function getRetryTime (health: IssuerHealth, address: string, isAlone: boolean): Millis {
  const issuer = health.get(address)
  return (isAlone ? issuer?.retryAt : issuer?.avoidUntil) ?? 0
}

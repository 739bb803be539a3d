/**
 * The open requests of a VM, with the step that each is in. A VM that stops reports from them which answers it leaves
 * incomplete; without them, a request that ended with its connection has no trace that names the step it was in.
 */
import type { IncomingMessage } from 'node:http'
import type { Millis, ServerId } from '@lynxcourse/base'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { createRunLedger } from './runLedger.js'
import type { RunLedger } from './runLedger.js'

/** The steps of an open request, mostly in this order. */
export const openSteps = ['start', 'body', 'state', 'decision', 'capacity', 'server', 'earlierAnswers', 'writing'] as const

/**
 * Step of an open request: `start` waits until it may start and the sockets are polled, `body` reads the body, `state` waits for a state by
 * which the VM may decide, `decision` decides on the next step or waits for a permit or a trial, `capacity` waits for capacity,
 * `server` is at a server, `earlierAnswers` waits behind earlier answers of the connection, `writing` writes the answer.
 */
export type OpenStep = typeof openSteps[number]

/** A request whose answer the caller doesn't have yet. */
export interface OpenRequest {
  readonly req: IncomingMessage
  readonly arrivedAt: Millis
  step: OpenStep
  stepSince: Millis
  /** The server that works on the request; undefined while none does. */
  server: ServerId | undefined
  /** What is proved about its runs. */
  readonly ledger: RunLedger
  /** Number of sends to servers so far. */
  sends: number
  /** Bytes written to the connection before this answer; undefined before the answer begins. */
  bytesBefore: number | undefined
  /** Whether all bytes of the answer were handed to the operating system. */
  isSent: boolean
  /** Aborted when the caller has closed its connection; undefined before the request has joined its pipeline. */
  gone: CancelSignal | undefined
  /** Gives up the server that works on the request, so that it fails with an answer of this VM; undefined while none does. */
  giveUp: (() => void) | undefined
}

/** All open requests of one VM. */
export interface OpenRequests {
  readonly all: Set<OpenRequest>
  /** When the last request ended. */
  lastEndedAt: Millis
}

/** What is known of an open request at one moment. */
export interface OpenRequestStatus {
  readonly step: OpenStep
  /** Time since the request arrived. */
  readonly openMs: Millis
  /** Time since the step began. */
  readonly stepMs: Millis
  readonly sends: number
  /** The server that still works on the request; undefined if none does. */
  readonly server: ServerId | undefined
  /** Bytes of the answer that were written to the connection, with its head. */
  readonly writtenBytes: number
  /** Bytes of those that the operating system has not taken; an upper bound. */
  readonly unsentBytes: number
}

export function createOpenRequests (): OpenRequests {
  return { all: new Set(), lastEndedAt: -Infinity }
}

/** Adds a request whose head was read. */
export function addOpenRequest ({ all }: OpenRequests, req: IncomingMessage, arrivedAt: Millis, now: Millis): OpenRequest {
  const request: OpenRequest = { req, arrivedAt, step: 'start', stepSince: now, server: undefined, ledger: createRunLedger(), sends: 0, bytesBefore: undefined, isSent: false, gone: undefined, giveUp: undefined }
  all.add(request)
  return request
}

/** Records the step of a request. A request whose caller is gone stays in the step that the close ended, and an answer that has begun in its. */
export function enterStep (request: OpenRequest, step: OpenStep, now: Millis): void {
  if (request.gone?.aborted === true || request.bytesBefore !== undefined) return
  request.step = step
  request.stepSince = now
}

/** Records that a request is sent to a server. */
export function enterServer (request: OpenRequest, server: ServerId, now: Millis): void {
  enterStep(request, 'server', now)
  request.server = server
  request.sends += 1
}

/** Records that no server works on the request any more. */
export function leaveServer (request: OpenRequest): void {
  if (request.gone?.aborted !== true) request.server = undefined
}

/** Records that the answer begins to be written. */
export function enterWriting (request: OpenRequest, now: Millis): void {
  enterStep(request, 'writing', now)
  request.bytesBefore = request.req.socket.bytesWritten
}

/** Records the end of an answer, which Node reports also when the connection is destroyed with bytes unsent. */
export function recordFinish (request: OpenRequest): void {
  if (!request.req.socket.destroyed) request.isSent = true
}

/** Removes a request whose answer is sent or whose connection has closed. */
export function removeOpenRequest (requests: OpenRequests, request: OpenRequest, now: Millis): void {
  requests.all.delete(request)
  requests.lastEndedAt = now
}

/** Whether a request is open whose body was read. */
export function hasWholeRequests ({ all }: OpenRequests): boolean {
  return [...all].some(({ step }) => step !== 'body')
}

/** Gives up all requests at servers. Answers that wait behind theirs can be sent then. */
export function giveUpRequests ({ all }: OpenRequests): void {
  for (const request of all) request.giveUp?.()
}

export function getOpenStatus (request: OpenRequest, now: Millis): OpenRequestStatus {
  const { req: { socket }, arrivedAt, step, stepSince, sends, server, bytesBefore } = request
  const writtenBytes = bytesBefore === undefined ? 0 : socket.bytesWritten - bytesBefore
  return { step, openMs: Math.round(now - arrivedAt), stepMs: Math.round(now - stepSince), sends, server, writtenBytes, unsentBytes: Math.min(writtenBytes, socket.writableLength) }
}

/** Counts requests by step; steps without requests are left out. */
export function countSteps (requests: Iterable<OpenRequest>): Partial<Record<OpenStep, number>> {
  const counts: Partial<Record<OpenStep, number>> = {}
  for (const { step } of requests) counts[step] = (counts[step] ?? 0) + 1
  return counts
}

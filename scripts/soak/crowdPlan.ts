/** Draws the crowds of a soak: clients that send ahead regardless of the answers. */
import type { Random } from '@lynxcourse/base'

const host = 'Host: soak.example\r\n'

export type CrowdText = 'noHeaders' | 'noRoute' | 'noKey' | 'smallChunks' | 'unfinishedHead' | 'noRequest' | 'nothing'

/** What the clients of a crowd send: the start once, and the text again and again. */
export const crowdTexts: Readonly<Record<CrowdText, { readonly start?: string, readonly text: string }>> = {
  noHeaders: { text: 'GET /read/ HTTP/1.1\r\n\r\n' },
  noRoute: { text: `GET /none HTTP/1.1\r\n${host}\r\n` },
  noKey: { text: `GET /read/ HTTP/1.1\r\n${host}\r\n` },
  smallChunks: { text: `POST /offer/ HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n${'1;a=b\r\nx\r\n'.repeat(500)}0\r\n\r\n` },
  unfinishedHead: { start: `GET /read/ HTTP/1.1\r\n${host}`, text: `X-Field: ${'n'.repeat(50)}\r\n` },
  noRequest: { text: '\x00 no request\r\n\r\n' },
  nothing: { text: '' }
}

/** A crowd at the callers' address of an entry VM, or at the internal address of a control VM. */
export interface CrowdStep {
  readonly at: number
  readonly kind: 'crowd'
  readonly vm: number
  readonly text: CrowdText
  readonly connections: number
  readonly isReading: boolean
  readonly forMs: number
}

const minConnections = 5
const maxConnections = 60
const minCrowdMs = 500
const maxCrowdMs = 3000

/** Draws the crowds of a series, two at the most. */
export function drawCrowds (random: Random, vmCount: number, start: number, lengthMs: number): CrowdStep[] {
  const drawInt = (below: number): number => Math.floor(random() * below)
  const names = Object.keys(crowdTexts) as CrowdText[]
  return Array.from({ length: drawInt(3) }, () => ({
    at: start + drawInt(lengthMs),
    kind: 'crowd',
    vm: drawInt(vmCount),
    text: names[drawInt(names.length)] ?? 'nothing',
    connections: minConnections + drawInt(maxConnections - minConnections),
    isReading: random() < 0.3,
    forMs: minCrowdMs + drawInt(maxCrowdMs - minCrowdMs)
  }))
}

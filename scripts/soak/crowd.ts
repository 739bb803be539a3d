/** Runs the crowds of a soak. */
import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { parseAddress } from '@lynxcourse/daemon'
import { sleep } from '../support/processes.js'
import { crowdTexts } from './crowdPlan.js'
import type { CrowdStep } from './crowdPlan.js'
import type { SoakSystem } from './soakSystem.js'
import type { SoakVm } from './vmProcess.js'

const maxBytesPerConnection = 1_048_576
const pieceBytes = 16_384
const pieceMs = 20

/**
 * Runs a crowd. It is not recorded as a fault, since the VM must keep every promise to ordinary callers beside it. Connections that the VM
 * closes are opened again.
 */
export async function runCrowd (system: SoakSystem, step: CrowdStep): Promise<void> {
  const vm = system.vms[step.vm] as SoakVm
  const address = vm.settings.listen.callers ?? vm.settings.listen.rpc
  const until = performance.now() + step.forMs
  await Promise.all(Array.from({ length: step.connections }, async () => {
    while (performance.now() < until) await runClient(address, step, until)
  }))
  checkMemory(system, vm)
}

async function runClient (address: string, { text, isReading }: CrowdStep, until: number): Promise<void> {
  const socket = connect(parseAddress(address))
  // A refused or reset connection is what a client of a crowd has to expect.
  socket.on('error', () => undefined)
  if (isReading) socket.resume()
  else socket.pause()
  const { start = '', text: repeated } = crowdTexts[text]
  socket.write(start)
  await writeUntil(socket, repeated, until)
  while (!socket.destroyed && performance.now() < until) await sleep(pieceMs)
  socket.destroy()
  await sleep(pieceMs)
}

async function writeUntil (socket: Socket, text: string, until: number): Promise<void> {
  if (text === '') return
  const piece = text.repeat(Math.ceil(pieceBytes / text.length))
  for (let written = 0; written < maxBytesPerConnection && !socket.destroyed && performance.now() < until; written += piece.length) {
    while (socket.writableNeedDrain && !socket.destroyed && performance.now() < until) await sleep(pieceMs)
    socket.write(piece)
  }
}

/** A process that holds more than its settings allow would be ended by its machine. */
function checkMemory ({ history }: SoakSystem, { name, child, settings }: SoakVm): void {
  const maxMb = settings.resources?.memoryMb
  const peakMb = readPeakMb(child?.pid)
  if (maxMb !== undefined && peakMb > maxMb) history.recordedViolations.push(`memory: ${name} used ${Math.round(peakMb)} of ${maxMb} MB`)
}

function readPeakMb (pid: number | undefined): number {
  try {
    return Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024
  } catch {
    // Another step has ended the process.
    return 0
  }
}

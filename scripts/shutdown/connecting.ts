/** Opens connections of callers to entry VMs. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { CallerConnection } from './callerConnection.js'
import type { CallerTarget } from './callerConnection.js'
import type { Forwarder } from './forwarder.js'
import type { ShutdownHistory } from './types.js'

const connectTimeoutMs = 2000
/** A slow reader takes this many bytes, then pauses. */
const slowReadBytes = 8 * 1024
const slowReadPauseMs = 20

/** Opens a connection; rejects if the VM refuses it. */
export async function openConnection (name: string, target: CallerTarget, history: ShutdownHistory, readsSlowly: boolean): Promise<CallerConnection> {
  const [host, port] = (target.forwarder?.address ?? target.address).split(':')
  const options = { host: host ?? '', port: Number(port), noDelay: true, allowHalfOpen: true }
  const { socket, startReading } = readsSlowly ? connectSlowly(options) : connectPlainly(options)
  await waitForConnect(socket, target.forwarder)
  const connection = new CallerConnection(name, target, socket, history)
  startReading(bytes => connection.receive(bytes))
  return connection
}

interface ConnectOptions {
  readonly host: string
  readonly port: number
  readonly noDelay: boolean
  readonly allowHalfOpen: boolean
}

interface OpenedSocket {
  readonly socket: Socket
  readonly startReading: (receive: (bytes: Buffer) => void) => void
}

function connectPlainly (options: ConnectOptions): OpenedSocket {
  const socket = connect(options)
  return { socket, startReading: receive => socket.on('data', receive) }
}

function connectSlowly (options: ConnectOptions): OpenedSocket {
  const early: Buffer[] = []
  let receive = (bytes: Buffer): void => { early.push(bytes) }
  const socket: Socket = connect({
    ...options,
    onread: {
      buffer: Buffer.alloc(slowReadBytes),
      callback: (count, buffer) => {
        receive(Buffer.from(buffer.subarray(0, count)))
        setTimeout(() => socket.resume(), slowReadPauseMs)
        return false
      }
    }
  })
  const startReading = (receiver: (bytes: Buffer) => void): void => {
    receive = receiver
    for (const bytes of early.splice(0)) receive(bytes)
  }
  return { socket, startReading }
}

async function waitForConnect (socket: Socket, forwarder: Forwarder | undefined): Promise<void> {
  const timer = setTimeout(() => socket.destroy(new Error('connect timeout')), connectTimeoutMs)
  try {
    const failed = new Promise<never>((_resolve, reject) => {
      socket.once('error', reject)
      socket.once('close', () => reject(new Error('closed while connecting')))
    })
    // The error is reported by the race, if it comes before the connection is established.
    failed.catch(() => undefined)
    await Promise.race([failed, new Promise<void>(resolve => socket.once('connect', resolve))])
    if (forwarder !== undefined) await Promise.race([failed, forwarder.whenConnected(socket.localPort ?? 0)])
  } catch (err) {
    socket.destroy()
    throw err
  } finally {
    clearTimeout(timer)
  }
}

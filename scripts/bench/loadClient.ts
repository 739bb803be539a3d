/** A load client in a separate process: several connections, each with one request in flight at a time. */
import { Client } from 'undici'
import { serveCommands } from '../support/childCommands.js'

/** The target of the load, the number of connections and the duration. */
export interface LoadCommand {
  readonly origin: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly connections: number
  readonly seconds: number
  readonly localAddress: string
}

/** Counts and latencies of one load run. Answers and latencies exclude the warm-up, errors include it. */
export interface LoadResult {
  readonly answers: number
  readonly errors: number
  readonly seconds: number
  /** Latencies in milliseconds: p50, p99. */
  readonly p50: number
  readonly p99: number
}

const warmUpMs = 500

async function sendRequests (client: Client, command: LoadCommand, state: { stop: boolean, counting: boolean, errors: number, times: number[] }): Promise<void> {
  while (!state.stop) {
    const startedAt = performance.now()
    try {
      const res = await client.request({ method: 'GET', path: command.path, headers: { ...command.headers } })
      await res.body.dump()
      if (res.statusCode !== 200) state.errors += 1
      else if (state.counting) state.times.push(performance.now() - startedAt)
    } catch {
      state.errors += 1
    }
  }
}

async function runLoadCommand (command: LoadCommand): Promise<LoadResult> {
  const clients = Array.from({ length: command.connections }, () => new Client(command.origin, { localAddress: command.localAddress, pipelining: 1 }))
  const state = { stop: false, counting: false, errors: 0, times: [] as number[] }
  const loops = clients.map(async client => await sendRequests(client, command, state))
  await new Promise(resolve => setTimeout(resolve, warmUpMs))
  state.counting = true
  const startedAt = performance.now()
  await new Promise(resolve => setTimeout(resolve, command.seconds * 1000))
  const seconds = (performance.now() - startedAt) / 1000
  state.stop = true
  const answers = state.times.length
  await Promise.all(loops)
  await Promise.all(clients.map(async client => await client.close()))
  const sorted = state.times.slice(0, answers).sort((a, b) => a - b)
  return { answers, errors: state.errors, seconds, p50: sorted[Math.floor(answers / 2)] ?? NaN, p99: sorted[Math.floor(answers * 0.99)] ?? NaN }
}

serveCommands<LoadCommand>(runLoadCommand)

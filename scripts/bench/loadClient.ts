/** A load client in a process of its own: some connections, each with one request under way at a time. */
import { Client } from 'undici'
import { answerOrders } from '../support/childOrders.js'

/** What to load. */
export interface LoadOrder {
  readonly origin: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly connections: number
  readonly seconds: number
  readonly localAddress: string
}

/** What came of it. */
export interface LoadResult {
  readonly answers: number
  readonly errors: number
  readonly seconds: number
  /** Latencies in milliseconds: p50, p99. */
  readonly p50: number
  readonly p99: number
}

const warmUpMs = 500

async function loop (client: Client, order: LoadOrder, state: { stop: boolean, counting: boolean, errors: number, times: number[] }): Promise<void> {
  while (!state.stop) {
    const startedAt = performance.now()
    try {
      const res = await client.request({ method: 'GET', path: order.path, headers: { ...order.headers } })
      await res.body.dump()
      if (res.statusCode !== 200) state.errors += 1
      else if (state.counting) state.times.push(performance.now() - startedAt)
    } catch {
      state.errors += 1
    }
  }
}

async function load (order: LoadOrder): Promise<LoadResult> {
  const clients = Array.from({ length: order.connections }, () => new Client(order.origin, { localAddress: order.localAddress, pipelining: 1 }))
  const state = { stop: false, counting: false, errors: 0, times: [] as number[] }
  const loops = clients.map(async client => await loop(client, order, state))
  await new Promise(resolve => setTimeout(resolve, warmUpMs))
  state.counting = true
  const startedAt = performance.now()
  await new Promise(resolve => setTimeout(resolve, order.seconds * 1000))
  const seconds = (performance.now() - startedAt) / 1000
  state.stop = true
  const answers = state.times.length
  await Promise.all(loops)
  await Promise.all(clients.map(async client => await client.close()))
  const sorted = state.times.slice(0, answers).sort((a, b) => a - b)
  return { answers, errors: state.errors, seconds, p50: sorted[Math.floor(answers / 2)] ?? NaN, p99: sorted[Math.floor(answers * 0.99)] ?? NaN }
}

answerOrders<LoadOrder>(load)

/** One spoiled answer of one faulty server ends an entry VM, with the requests of all its callers. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { KeptClient, answer, buildConfig, hasTrouble, runCase, send, sleep } from '../lib-2/kit.mjs'

const clients = 8
const answerBytes = 90_000
const sentBytes = 70_000
const body = Buffer.alloc(answerBytes, 'x')

/**
 * Answers of the faulty server: the first byte that is wrong makes the answer one of another protocol version, or one without a length
 * of its own. Both are broken off by a reset.
 */
const spoiledHeads = {
  version: ['HTTP/1.0 200 OK', `Content-Length: ${answerBytes}`],
  framing: ['HTTP/1.1 200 OK', 'Transfer-Encoding: identity']
}

await runCase(dirname(fileURLToPath(import.meta.url)), { controls: 3, entries: 1 }, async deployment => {
  await deployment.startAll(buildConfig(1, [
    { name: 'r-export', prefix: '/export/', kind: 'download', service: 'izvoz' },
    { name: 'r-status', prefix: '/status/', kind: 'safe', service: 'prijava' },
    { name: 'r-submit', prefix: '/submit/', kind: 'unsafe', service: 'prijava' }
  ], ['izvoz', 'prijava']))
  let isFaulty = false
  await deployment.addServer({
    service: 'izvoz',
    handle: async (request, socket) => {
      if (!isFaulty) return answer(socket, request, { body })
      const [start, framing] = spoiledHeads[request.path.split('/').at(-1)]
      socket.write(`${start}\r\nX-Lynxcourse-Request-Id: ${request.headers['x-lynxcourse-request-id']}\r\nX-Lynxcourse-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n${framing}\r\n\r\n`)
      socket.write(body.subarray(0, sentBytes))
      await sleep(60)
      socket.resetAndDestroy()
    }
  })
  for (let count = 0; count < 2; count++) {
    await deployment.addServer({
      service: 'prijava',
      handle: async (request, socket) => {
        if (request.method === 'POST') await sleep(3000)
        answer(socket, request)
      }
    })
  }
  await sleep(2500)
  const entry = deployment.entryAddress(0)
  const lost = []
  for (const kind of Object.keys(spoiledHeads)) {
    const kept = Array.from({ length: clients }, () => new KeptClient(entry))
    for (const client of kept) deployment.note(`client: first request on its connection: ${(await client.send({ path: '/status/1' })).status}`)
    const submitted = kept.map(async client => await client.send({ method: 'POST', path: '/submit/1', body: Buffer.from('x') }))
    await sleep(300)
    isFaulty = hasTrouble
    const exported = await send(entry, { path: `/export/${kind}` })
    isFaulty = false
    deployment.note(`client: export ${kind}: ${exported.status} ${exported.error ?? `${exported.body.length} B`}`)
    for (const { id, status, error, wasKept } of await Promise.all(submitted)) {
      const runs = deployment.servers.flatMap(server => server.runs).filter(run => run.id === id).length
      deployment.note(`client: submit ${id}: ${status} ${error ?? ''}, runs at servers: ${runs}`)
      if (status === 0 && error === 'closed' && wasKept && runs > 0) lost.push(id)
    }
    for (const client of kept) client.close()
    if (lost.length > 3) break
  }
  await sleep(300)
  const { ended } = deployment.processes.get('edge-1')
  return { isBroken: lost.length > 3, verdict: `${lost.length} requests that sound servers ran were cut off on kept connections (LOST allows 3); entry process ${ended === undefined ? 'runs' : `ended by itself with code ${ended.code}`}` }
})

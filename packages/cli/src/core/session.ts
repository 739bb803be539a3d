/** The session of one run of the command line: the VMs' addresses, the operator, and calls to the first VM that answers. */
import { readFileSync } from 'node:fs'
import { homedir, userInfo } from 'node:os'
import { join } from 'node:path'
import { LynxError, isLynxError, getErrorMessage } from '@lynxcourse/base'
import { addressSchema, callPeer, createRpcClient } from '@lynxcourse/daemon'
import type { RpcClient } from '@lynxcourse/daemon'
import { parse } from 'yaml'
import * as z from 'zod'
import type { OutputFormat } from '../utils/printing.js'

/** Options of every command. */
export interface GlobalOptions {
  readonly addresses?: string
  readonly clientConfig?: string
  readonly output: OutputFormat
  readonly operator?: string
}

export interface Session extends AsyncDisposable {
  readonly addresses: readonly string[]
  readonly operator: string
  readonly output: OutputFormat
  readonly client: RpcClient
}

const callTimeoutMs = 5000
const defaultConfigName = '.lynxcourse.yaml'

const clientSchema = z.strictObject({
  /** RPC addresses of VMs, tried in order. */
  addresses: z.array(addressSchema).min(1),
  operator: z.string().min(1).max(64).optional(),
  tls: z.strictObject({ certFile: z.string(), keyFile: z.string(), caFile: z.string() }).optional()
})

type ClientConfig = z.output<typeof clientSchema>

/** Opens a session. Options take precedence over environment variables, and these over the client's configuration file. */
export function openSession (options: GlobalOptions): Session {
  const file = readClientConfig(options)
  const addressList = options.addresses ?? process.env['LYNXCOURSE_ADDRESSES']
  const addresses = addressList === undefined ? file?.addresses ?? [] : addressList.split(',').map(address => checkAddress(address.trim()))
  if (addresses.length === 0) {
    throw new LynxError('badRequest', 'no addresses: set --addresses, LYNXCOURSE_ADDRESSES or addresses in ~/.lynxcourse.yaml', { step: 'start', field: 'addresses' })
  }
  const tls = file?.tls === undefined ? undefined : readTls(file.tls)
  const client = createRpcClient({ timeoutMs: callTimeoutMs, localAddress: '', tls: () => tls, metrics: undefined })
  return {
    addresses,
    operator: options.operator ?? file?.operator ?? userInfo().username,
    output: options.output,
    client,
    [Symbol.asyncDispose]: async () => await client[Symbol.asyncDispose]()
  }
}

function checkAddress (address: string): string {
  if (addressSchema.safeParse(address).success) return address
  throw new LynxError('badRequest', `addresses: '${address}' is no IPv4:port`, { step: 'start', field: 'addresses' })
}

function readClientConfig (options: GlobalOptions): ClientConfig | undefined {
  const path = options.clientConfig ?? process.env['LYNXCOURSE_CONFIG'] ?? join(homedir(), defaultConfigName)
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (err) {
    if (options.clientConfig === undefined) return undefined
    throw new LynxError('badSettings', getErrorMessage(err), { step: 'start', cause: err })
  }
  const checked = clientSchema.safeParse(parse(text))
  if (checked.success) return checked.data
  const issue = checked.error.issues[0]
  throw new LynxError('badSettings', `${path}: ${issue?.path.join('.')}: ${issue?.message}`, { step: 'start' })
}

function readTls (files: NonNullable<ClientConfig['tls']>): { cert: string, key: string, ca: string } {
  return { cert: readFileSync(files.certFile, 'utf8'), key: readFileSync(files.keyFile, 'utf8'), ca: readFileSync(files.caFile, 'utf8') }
}

/**
 * Calls a method at the first VM that can answer. Tries the next VM only after errors that concern a single VM. A change can
 * safely be sent again, since its change id identifies it.
 */
export async function callAnyVm<Result> (session: Session, method: string, params: object = {}): Promise<Result> {
  let lastError: unknown
  for (const address of session.addresses) {
    try {
      return await callPeer<Result>(session.client, address, method, params)
    } catch (err) {
      const isVmSpecific = isLynxError(err, 'peerFailed') || isLynxError(err, 'notLeader') || isLynxError(err, 'noQuorum')
      if (!isVmSpecific) throw err
      lastError = err
    }
  }
  throw lastError
}

/**
 * Finds the item with the given key in the result of a query that lists all items of its kind.
 *
 * @throws LynxError `notFound` if there is no such item
 */
export async function findByKey<Item extends { readonly key: string }> (session: Session, query: string, kind: string, key: string): Promise<Item> {
  const found = (await callAnyVm<Item[]>(session, query)).find(item => item.key === key)
  if (found === undefined) throw new LynxError('notFound', `${kind} '${key}'`, { step: kind })
  return found
}

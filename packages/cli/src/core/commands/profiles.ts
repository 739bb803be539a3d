/** `lynxcourse profile` and `lynxcourse service`. */
import { readFileSync } from 'node:fs'
import type { Command } from 'commander'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import { profileSchema } from '@lynxcourse/state'
import type { Profile, ProfileItem, ServiceItem } from '@lynxcourse/state'
import { parse, stringify } from 'yaml'
import { exitCodes } from '../../utils/exitCodes.js'
import { printOne, printRows } from '../../utils/printing.js'
import { sendChange } from '../changes.js'
import type { ChangeOptions } from '../changes.js'
import { call, findByKey } from '../session.js'
import type { Session } from '../session.js'
import { action, changeOptions } from './action.js'

interface PublishOptions extends ChangeOptions {
  readonly expectedVersion?: string
}

/** Reads and checks a profile's file. */
export function readProfile (file: string): Profile {
  let raw: unknown
  try {
    raw = parse(readFileSync(file, 'utf8'))
  } catch (err) {
    throw new LynxError('badRequest', `${file}: ${getErrorMessage(err)}`, { step: 'read profile', cause: err })
  }
  const checked = profileSchema.safeParse(raw)
  if (checked.success) return checked.data
  const issue = checked.error.issues[0]
  const field = issue?.path.join('.') ?? ''
  throw new LynxError('badRequest', `${file}: ${field}: ${issue?.message}`, { step: 'read profile', field })
}

async function listProfiles (session: Session): Promise<ProfileItem[]> {
  return await call<ProfileItem[]>(session, 'query.profiles')
}

async function findProfile (session: Session, name: string): Promise<ProfileItem> {
  return await findByKey<ProfileItem>(session, 'query.profiles', 'profile', name)
}

/** The version to expect: as given, or the present one, which leaves a race to be noticed. */
async function expectedVersion (session: Session, name: string, given: string | undefined): Promise<number> {
  if (given === undefined) return (await listProfiles(session)).find(item => item.key === name)?.itemVersion ?? 0
  const version = Number(given)
  if (Number.isInteger(version) && version >= 0) return version
  throw new LynxError('badRequest', `--expected-version: '${given}' is no version`, { step: 'profile', field: 'expected-version' })
}

function rowOf (item: ProfileItem): Record<string, unknown> {
  const { profile, itemVersion, retired, origin } = item
  return { name: profile.name, version: itemVersion, retired, places: profile.places.join(','), operator: origin.operator, changeId: origin.changeId, at: new Date(origin.at).toISOString() }
}

const columns = ['name', 'version', 'retired', 'places', 'operator', 'changeId', 'at']

/** Adds the commands. */
export function addProfileCommands (program: Command): void {
  const profile = program.command('profile').description('publish, read and retire steering profiles')
  changeOptions(profile.command('publish <file>').description('create or change a profile from a YAML file'))
    .option('--expected-version <n>', 'version that this change is made on; 0 for a new profile')
    .addHelpText('after', '\nExample:\n  lynxcourse profile publish desk.yaml --expected-version 3 --wait\n')
    .action(action(async (session, [file], options: PublishOptions) => {
      const wanted = readProfile(file)
      const version = await expectedVersion(session, wanted.name, options.expectedVersion)
      return await sendChange(session, { type: 'publishProfile', expectedVersion: version, profile: wanted }, options)
    }))
  profile.command('get <name>').description('print a profile').action(action(async (session, [name]) => {
    const item = await findProfile(session, name)
    if (session.output === 'json') printOne('json', { ...item })
    else process.stdout.write(`# version ${item.itemVersion}${item.retired ? ', retired' : ''}\n${stringify(item.profile)}`)
    return exitCodes.ok
  }))
  profile.command('list').description('list profiles').action(action(async session => {
    printRows(session.output, (await listProfiles(session)).map(rowOf), columns)
    return exitCodes.ok
  }))
  profile.command('history <name>').description('list the versions of a profile').action(action(async (session, [name]) => {
    printRows(session.output, (await call<ProfileItem[]>(session, 'query.history', { name })).map(rowOf), columns)
    return exitCodes.ok
  }))
  profile.command('diff <name> <file>').description('compare the published profile with a file').action(action(async (session, [name, file]) => {
    const rows = diffProfiles((await findProfile(session, name)).profile, readProfile(file))
    printRows(session.output, rows, ['field', 'published', 'file'])
    return exitCodes.ok
  }))
  changeOptions(profile.command('retire <name>').description('retire a profile that no service runs under'))
    .option('--expected-version <n>', 'version that this change is made on')
    .action(action(async (session, [name], options: PublishOptions) => {
      const version = await expectedVersion(session, name, options.expectedVersion)
      return await sendChange(session, { type: 'retireProfile', expectedVersion: version, name }, options)
    }))
  addServiceCommands(program)
}

/** Fields in which two profiles differ. */
export function diffProfiles (published: Profile, wanted: Profile): Array<Record<string, unknown>> {
  const fields = Object.keys(published) as Array<keyof Profile>
  return fields
    .filter(field => JSON.stringify(published[field]) !== JSON.stringify(wanted[field]))
    .map(field => ({ field, published: published[field], file: wanted[field] }))
}

function addServiceCommands (program: Command): void {
  const service = program.command('service').description('the profile that each service runs under')
  changeOptions(service.command('pick <service> <profile>').description('let a service run under a profile'))
    .action(action(async (session, [name, profile], options: ChangeOptions) =>
      await sendChange(session, { type: 'pickProfile', service: name, profile }, options)))
  service.command('list').description('list services').action(action(async session => {
    const rows = (await call<ServiceItem[]>(session, 'query.services')).map(item => ({ service: item.key, profile: item.profile, operator: item.origin.operator }))
    printRows(session.output, rows, ['service', 'profile', 'operator'])
    return exitCodes.ok
  }))
}

/** Schemas of the reports of rollouts that entry VMs send and control VMs relay. */
import { maxRoutes } from '@lynxcourse/state'
import * as z from 'zod'
import { nameSchema } from './fleetCommands.js'

const maxServers = 100_000
const maxReports = 1000
const maxVms = 10_000

const count = z.number().int().min(0)
const answersSchema = z.strictObject({ answers: count, failures: count, slow: count })

/** Schema of one entry VM's reports. */
export const rolloutReportsSchema = z.array(z.strictObject({
  service: nameSchema,
  order: count,
  step: count,
  inFlightAtBaseline: count,
  routes: z.array(z.strictObject({ route: nameSchema, baseline: answersSchema, target: answersSchema })).max(maxRoutes),
  servers: z.array(z.tuple([nameSchema, count, count])).max(maxServers)
})).max(maxReports)

/** Schema of the reports of several entry VMs. */
export const rolloutReportsByVmSchema = z.array(z.tuple([nameSchema, rolloutReportsSchema])).max(maxVms)

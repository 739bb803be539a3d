/** Schemas of the reports of rollouts that entry VMs send and control VMs relay. */
import * as z from 'zod'

/** Longest name of a route, server or service; operators and servers choose them. */
const maxNameLength = 4096
const maxRoutes = 10_000
const maxServers = 100_000
const maxReports = 1000
const maxVms = 10_000

const name = z.string().min(1).max(maxNameLength)
const count = z.number().int().min(0)
const answersSchema = z.strictObject({ answers: count, failures: count, slow: count })

/** Schema of one entry VM's reports. */
export const rolloutReportsSchema = z.array(z.strictObject({
  service: name,
  order: count,
  step: count,
  inFlightAtBaseline: count,
  routes: z.array(z.strictObject({ route: name, baseline: answersSchema, target: answersSchema })).max(maxRoutes),
  servers: z.array(z.tuple([name, count, count])).max(maxServers)
})).max(maxReports)

/** Schema of the reports of several entry VMs. */
export const rolloutReportsByVmSchema = z.array(z.tuple([name, rolloutReportsSchema])).max(maxVms)

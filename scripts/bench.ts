/** `npm run bench -- path | policy [choice|overload|shift|claims] | capacity [--quick] [--page] | processor [--quick] [--profiles FOLDER] | changes [--quick] [--profiles FOLDER] | copies [--quick]`. */
import { parseArgs } from 'node:util'
import { benchCapacity, regeneratePage } from './bench/capacity.js'
import { benchPolicy } from './bench/policy.js'
import { benchPath } from './bench/path.js'
import { benchChanges } from './bench/changes.js'
import { benchCopies } from './bench/copies.js'
import { benchProcessor } from './bench/processor.js'

const { values, positionals } = parseArgs({ allowPositionals: true, options: { quick: { type: 'boolean', default: false }, page: { type: 'boolean', default: false }, profiles: { type: 'string' } } })
const seconds = values.quick ? 2 : 8

switch (positionals[0]) {
  case 'path':
    await benchPath(seconds)
    break
  case 'capacity':
    if (values.page) regeneratePage()
    else await benchCapacity(values.quick)
    break
  case 'policy':
    await benchPolicy(positionals[1], values.quick)
    break
  case 'processor':
    await benchProcessor(values.quick, values.profiles)
    break
  case 'changes':
    await benchChanges(values.quick, values.profiles)
    break
  case 'copies':
    await benchCopies(values.quick)
    break
  default:
    process.stderr.write('bench: expected path, policy, capacity, processor, changes or copies\n')
    process.exitCode = 2
}

#!/usr/bin/env node
/** The operators' program. */
import { makeProgram } from './core/program.js'

await makeProgram().parseAsync()

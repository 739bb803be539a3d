#!/usr/bin/env node
/** The operators' command-line program. */
import { createProgram } from './core/program.js'

await createProgram().parseAsync()

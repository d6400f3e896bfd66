/** Entry point of the command line: defines all commands and runs one. */

import { Command } from 'commander'
import { addClientCommands } from './client-commands.js'
import { addOperatorCommands } from './operator-commands.js'
import { EXIT, printError } from './output.js'
import { addServeCommands } from './serve-commands.js'
import { addStateCommands } from './state-commands.js'

const VERSION = '0.1.0'

const program = new Command('heathroad')
	.description(
		'A cluster scheduler: rents machines, places job arrays and keeps its guarantees during failures.',
	)
	.version(VERSION)
	.exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT.usage))

addServeCommands(program)
addClientCommands(program)
addStateCommands(program)
addOperatorCommands(program)

program.parseAsync().catch((error) => {
	printError((error as Error).message)
	process.exit(EXIT.refused)
})

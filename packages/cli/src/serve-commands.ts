/** Defines the commands `serve` and `check-config`. */

import { printedLimits } from '@heathroad/config'
import { ControllerProcess, createLog } from '@heathroad/daemon'
import type { Command } from 'commander'
import { type ConfigFiles, loadConfigOrExit, withConfigFiles } from './options.js'
import { EXIT, printError, printLine } from './output.js'

/** Runs one controller until a signal ends it. */
const serve = async (files: ConfigFiles): Promise<void> => {
	const config = loadConfigOrExit(files)
	const controller = new ControllerProcess(config, files.ini, createLog(), (code) => process.exit(code))
	const { service } = controller
	service.onUnsupportedFormat = (reason) => {
		printError(`${reason}: refusing to start`)
		process.exit(EXIT.usage)
	}
	process.on('uncaughtException', (error) => service.recoverFromError(error))
	process.on('unhandledRejection', (error) => service.recoverFromError(error))
	for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => controller.handleSignal())
	process.on('SIGHUP', () => void controller.reload().catch((error) => service.recoverFromError(error)))
	try {
		await controller.start()
	} catch (error) {
		printError(`cannot listen: ${(error as Error).message}`)
		process.exit(EXIT.refused)
	}
}

const checkConfig = (files: ConfigFiles): void => {
	const { limits } = loadConfigOrExit(files)
	printLine(JSON.stringify({ ok: true, derived: printedLimits(limits) }, null, 2))
}

/** Adds `serve` and `check-config`. */
export const addServeCommands = (program: Command): void => {
	withConfigFiles(
		program
			.command('serve')
			.description(
				'run one controller until it is killed or drained (SIGTERM; a second one ends it at once)',
			),
	).action(serve)

	withConfigFiles(
		program.command('check-config').description('validate the settings and print errors with their location'),
	).action(checkConfig)
}

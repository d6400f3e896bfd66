/** The commands below `state`: look at, save and restore the service's state. */

import type { Command } from 'commander'
import { type ConfigFiles, loadConfigOrExit } from './options.js'

/** Loaded on use, so that a controller does not load the tools. */
const loadStateTools = () => import('./state-tools.js')

const withStateConfig = (command: Command): Command =>
	command
		.requiredOption('--config <file>', "the platform's settings (JSON)")
		.option('--ini <file>', "operators' own settings")

/** Adds `state` and the commands below it. */
export const addStateCommands = (program: Command): void => {
	const state = program.command('state').description("look at, save and restore the service's state")

	withStateConfig(state.command('check'))
		.description('say what does not fit, a line each; exit code 1 if anything does not')
		.option('--cloud', "compare with the cloud's list of machines too")
		.action(async (options: ConfigFiles & { cloud?: boolean }) => {
			const { check } = await loadStateTools()
			await check(loadConfigOrExit(options), { withCloud: options.cloud === true })
		})

	withStateConfig(state.command('export'))
		.description('write the whole state as of one moment to a file')
		.argument('<file>')
		.action(async (file: string, options: ConfigFiles) => {
			const { save } = await loadStateTools()
			await save(loadConfigOrExit(options), file)
		})

	withStateConfig(state.command('import'))
		.description('write a saved state into an empty state service; goes on where it was stopped')
		.argument('<file>')
		.action(async (file: string, options: ConfigFiles) => {
			const { restore } = await loadStateTools()
			await restore(loadConfigOrExit(options), file)
		})

	state
		.command('diff')
		.description('keys in which two saved states differ; exit code 1 if any')
		.argument('<before>')
		.argument('<after>')
		.action(async (before: string, after: string) => (await loadStateTools()).compare(before, after))
}

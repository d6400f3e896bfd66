/** Defines `state` and its subcommands, which check, export, import and compare the stored state. */

import type { Command } from 'commander'
import { type ConfigFiles, loadConfigOrExit } from './options.js'

/** Imports the tools on use, so that `serve` does not load them. */
const loadStateTools = () => import('./state-tools.js')

const withStateConfig = (command: Command): Command =>
	command
		.requiredOption('--config <file>', "the platform's settings (JSON)")
		.option('--ini <file>', "operators' settings (INI)")

/** Adds `state` and its subcommands. */
export const addStateCommands = (program: Command): void => {
	const state = program.command('state').description('check, export, import and compare the stored state')

	withStateConfig(state.command('check'))
		.description('print inconsistencies in the state, one per line; exit code 1 if there are any')
		.option('--cloud', "also compare with the cloud's list of machines")
		.action(async (options: ConfigFiles & { cloud?: boolean }) => {
			const { check } = await loadStateTools()
			await check(loadConfigOrExit(options), { withCloud: options.cloud === true })
		})

	withStateConfig(state.command('export'))
		.description('write a consistent snapshot of the whole state to a file')
		.argument('<file>')
		.action(async (file: string, options: ConfigFiles) => {
			const { save } = await loadStateTools()
			await save(loadConfigOrExit(options), file)
		})

	withStateConfig(state.command('import'))
		.description('write an exported state into an empty state service; an interrupted import can be resumed')
		.argument('<file>')
		.action(async (file: string, options: ConfigFiles) => {
			const { restore } = await loadStateTools()
			await restore(loadConfigOrExit(options), file)
		})

	state
		.command('diff')
		.description('print the keys in which two exported states differ; exit code 1 if there are any')
		.argument('<before>')
		.argument('<after>')
		.action(async (before: string, after: string) => (await loadStateTools()).compare(before, after))
}

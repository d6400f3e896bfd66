/** Defines the operators' commands for running controllers: `plugins` and `drain`. */

import { type Command, Option } from 'commander'
import type { AdminTarget } from './daemon-tools.js'
import { collectAddresses } from './options.js'

const DEFAULT_ADMIN = '127.0.0.1:8081'

/** Imports the tools on use, so that `serve` does not load them. */
const loadDaemonTools = () => import('./daemon-tools.js')

interface AdminOptions {
	admin?: string[]
	json?: boolean
}

const targetOf = ({ admin, json }: AdminOptions): AdminTarget => ({
	addresses: admin ?? [DEFAULT_ADMIN],
	json: json ?? !process.stdout.isTTY,
})

/** Adds the options that all commands for running controllers share. */
const withAdminOptions = (command: Command): Command =>
	command
		.addOption(
			new Option(
				'--admin <address>',
				`a controller's internal address, as IP:PORT; may be given again (default: ${DEFAULT_ADMIN})`,
			).argParser(collectAddresses),
		)
		.option('--json', 'print JSON (default if the output is not a terminal)')
		.option('--no-json', 'print text (default on a terminal)')

const addPluginCommands = (program: Command): void => {
	const plugins = program
		.command('plugins')
		.description('inspect and control the plug-ins of running controllers')

	withAdminOptions(plugins.command('list'))
		.description('print the version, condition and counts of each plug-in')
		.action(async (options: AdminOptions) => (await loadDaemonTools()).list(targetOf(options)))

	plugins
		.command('check')
		.description('check whether a folder holds a valid plug-in; exit code 1 if not')
		.argument('<dir>')
		.action(async (directory: string) => (await loadDaemonTools()).check(directory))

	withAdminOptions(plugins.command('reload'))
		.description('reload the INI file and the plug-in directory now, and retry rejected versions')
		.action(async (options: AdminOptions) => (await loadDaemonTools()).reload(targetOf(options)))

	withAdminOptions(plugins.command('disable'))
		.description('stop calling a plug-in until it is enabled or its controller restarts')
		.argument('<name>')
		.action(async (name: string, options: AdminOptions) =>
			(await loadDaemonTools()).disable(targetOf(options), name),
		)

	withAdminOptions(plugins.command('enable'))
		.description('resume calling a disabled plug-in')
		.argument('<name>')
		.action(async (name: string, options: AdminOptions) =>
			(await loadDaemonTools()).enable(targetOf(options), name),
		)
}

/** Adds `plugins` with its subcommands, and `drain`. */
export const addOperatorCommands = (program: Command): void => {
	addPluginCommands(program)
	withAdminOptions(program.command('drain'))
		.description('drain and stop controllers, one after the other, without affecting users and machines')
		.action(async (options: AdminOptions) => (await loadDaemonTools()).drain(targetOf(options)))
}

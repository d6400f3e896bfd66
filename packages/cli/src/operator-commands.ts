/** The commands of operators for running controllers: `plugins` and `drain`. */

import { type Command, Option } from 'commander'
import type { AdminTarget } from './daemon-tools.js'
import { collectAddresses } from './options.js'

const DEFAULT_ADMIN = '127.0.0.1:8081'

/** Loaded on use, so that a controller does not load the tools. */
const loadDaemonTools = () => import('./daemon-tools.js')

interface AdminOptions {
	admin?: string[]
	json?: boolean
}

const targetOf = ({ admin, json }: AdminOptions): AdminTarget => ({
	addresses: admin ?? [DEFAULT_ADMIN],
	json: json ?? !process.stdout.isTTY,
})

/** Adds the options of every command that calls running controllers. */
const withAdminOptions = (command: Command): Command =>
	command
		.addOption(
			new Option(
				'--admin <address>',
				`a controller's internal address, as IP:PORT; may be given again (default: ${DEFAULT_ADMIN})`,
			).argParser(collectAddresses),
		)
		.option('--json', 'print JSON, as into a pipe')
		.option('--no-json', 'print for a person, as on a terminal')

const addPluginCommands = (program: Command): void => {
	const plugins = program
		.command('plugins')
		.description('look at and steer the plug-ins of running controllers')

	withAdminOptions(plugins.command('list'))
		.description('versions, conditions and counts')
		.action(async (options: AdminOptions) => (await loadDaemonTools()).list(targetOf(options)))

	plugins
		.command('check')
		.description('say whether a folder holds a plug-in that a controller would take; exit code 1 if not')
		.argument('<dir>')
		.action(async (directory: string) => (await loadDaemonTools()).check(directory))

	withAdminOptions(plugins.command('reload'))
		.description(
			'read the INI file and the directory of plug-ins now, and try versions that failed once more',
		)
		.action(async (options: AdminOptions) => (await loadDaemonTools()).reload(targetOf(options)))

	withAdminOptions(plugins.command('disable'))
		.description('ask a plug-in no more, until it is enabled or its controller restarts')
		.argument('<name>')
		.action(async (name: string, options: AdminOptions) =>
			(await loadDaemonTools()).disable(targetOf(options), name),
		)

	withAdminOptions(plugins.command('enable'))
		.description('ask a plug-in again')
		.argument('<name>')
		.action(async (name: string, options: AdminOptions) =>
			(await loadDaemonTools()).enable(targetOf(options), name),
		)
}

/** Adds `plugins` with the commands below it, and `drain`. */
export const addOperatorCommands = (program: Command): void => {
	addPluginCommands(program)
	withAdminOptions(program.command('drain'))
		.description('end controllers so that neither users nor machines notice, one after the other')
		.action(async (options: AdminOptions) => (await loadDaemonTools()).drain(targetOf(options)))
}

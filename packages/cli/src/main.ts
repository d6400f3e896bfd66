import { ConfigError, loadConfig, printedLimits } from '@heathroad/config'
import { makeLog, Running } from '@heathroad/daemon'
import { PRIORITIES } from '@heathroad/wire'
import { Command, InvalidArgumentError, Option } from 'commander'
import type { Where } from './verbs.js'

const VERSION = '0.1.0'
/** Exit codes: 0 done, 1 the service said no or gave no answer, 2 wrong settings or arguments. */
const EXIT = { refused: 1, usage: 2 } as const

const guarded = <A>(load: () => A): A => {
	try {
		return load()
	} catch (e) {
		if (!(e instanceof ConfigError)) throw e
		process.stderr.write(`heathroad: ${e.message}\n`)
		process.exit(EXIT.usage)
	}
}

const serve = async (options: { config: string; ini?: string }): Promise<void> => {
	const config = guarded(() => loadConfig(options.config, options.ini))
	const running = new Running(config, options.ini, makeLog(), (code) => process.exit(code))
	running.service.onUnsupportedFormat = (why) => {
		process.stderr.write(`heathroad: ${why}: refusing to start\n`)
		process.exit(EXIT.usage)
	}
	process.on('uncaughtException', (e) => running.service.recoverFromError(e))
	process.on('unhandledRejection', (e) => running.service.recoverFromError(e))
	for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => running.signalled())
	process.on('SIGHUP', () => void running.reload().catch((e) => running.service.recoverFromError(e)))
	try {
		await running.start()
	} catch (e) {
		process.stderr.write(`heathroad: cannot listen: ${(e as Error).message}\n`)
		process.exit(EXIT.refused)
	}
}

const number = (text: string): number => {
	const n = Number(text)
	if (text.trim() === '' || !Number.isFinite(n) || n < 0)
		throw new InvalidArgumentError('not a number of 0 or more')
	return n
}
const list = (text: string): string[] => text.split(',')

const program = new Command('heathroad')
	.description('A cluster scheduler: rents machines, places array jobs, keeps its promises under failure.')
	.version(VERSION)
	.exitOverride((e) => process.exit(e.exitCode === 0 ? 0 : EXIT.usage))

program
	.command('serve')
	.description(
		'run one controller until it is killed or told to drain (SIGTERM; a second one ends it at once)',
	)
	.option('--ini <file>', "operators' own settings")
	.requiredOption('--config <file>', "the platform's settings (JSON)")
	.action(serve)

program
	.command('check-config')
	.description('say what is wrong with settings, and where')
	.option('--ini <file>', "operators' own settings")
	.requiredOption('--config <file>', "the platform's settings (JSON)")
	.action((options: { config: string; ini?: string }) => {
		const { limits } = guarded(() => loadConfig(options.config, options.ini))
		process.stdout.write(`${JSON.stringify({ ok: true, derived: printedLimits(limits) }, null, 2)}\n`)
	})

const ADDRESS = /^[\w.-]+:\d{1,5}$/
const address = (text: string): string => {
	if (!ADDRESS.test(text)) throw new InvalidArgumentError('not an address and a port, such as 127.0.0.1:8080')
	return text
}
const several = (text: string, before: string[] | undefined): string[] => [...(before ?? []), address(text)]

interface WhereOptions {
	server?: string[]
	grpc?: string[]
	json?: boolean
	deadlineS?: number
}

/** The options of every verb that talks to a service. */
const client = (verb: Command): Command =>
	verb
		.addOption(
			new Option(
				'--server <address>',
				'a controller, as IP:PORT; may be given again (default: 127.0.0.1:8080)',
			).argParser(several),
		)
		.addOption(
			new Option('--grpc <address>', "a controller's face for gRPC; may be given again").argParser(several),
		)
		.option('--json', 'print JSON, as into a pipe')
		.option('--no-json', 'print for a person, as on a terminal')
		.option('--deadline-s <n>', 'give up after so many seconds', number)

const where = (o: WhereOptions): Where => ({
	server: o.server ?? (o.grpc === undefined ? ['127.0.0.1:8080'] : []),
	grpc: o.grpc ?? [],
	json: o.json ?? null,
	deadlineS: o.deadlineS,
})

/** The verbs' code is loaded by those who use them, not by a controller. */
const verbs = () => import('./verbs.js')

client(program.command('submit'))
	.description('submit a job')
	.argument('[uid]', 'job id, such as job-000412; made for you if left out')
	.requiredOption('--class <name>', 'class of jobs')
	.requiredOption('--team <name>', 'team whose guarantee and limit apply')
	.requiredOption('--image <name>', 'image the tasks need')
	.option('--image-gb <n>', 'size of the image', number, 0)
	.addOption(new Option('--kind <kind>').choices(['sweep', 'daemon', 'gang']).default('sweep'))
	.addOption(new Option('--priority <priority>').choices([...PRIORITIES]).default('normal'))
	.option('--tasks <n>', 'number of tasks', number, 1)
	.option('--cpus <n>', 'CPUs of a task', number, 1)
	.option('--gpus <n>', 'GPUs of a task', number, 0)
	.option('--ram-gb <n>', 'memory of a task', number, 1)
	.option('--types <a,b>', 'allowed machine types', list)
	.option('--zone <zone>', 'the only allowed zone')
	.option('--same-place', 'all tasks in one zone')
	.option('--apart', 'at most half of the tasks in one zone')
	.option('--spot', 'may use spot machines')
	.option('--expected-s <n>', 'run time of a task', number, 60)
	.option('--checkpoint-s <n>', 'a task saves its progress this often; 0: never', number, 0)
	.option('--save-s <n>', 'time a task needs to save', number, 0)
	.option('--due-s <n>', 'deadline after submission', number)
	.option('--wait', 'until the job is over')
	.action(async (uid: string | undefined, o) => {
		const job = {
			...(uid === undefined ? {} : { uid }),
			jobClass: o.class,
			team: o.team,
			kind: o.kind,
			priority: o.priority,
			tasks: o.tasks,
			cpus: o.cpus,
			gpus: o.gpus,
			ramGb: o.ramGb,
			types: o.types ?? null,
			zone: o.zone ?? null,
			samePlace: o.samePlace === true,
			apart: o.apart === true,
			spot: o.spot === true,
			image: o.image,
			imageGb: o.imageGb,
			expectedS: o.expectedS,
			checkpointS: o.checkpointS,
			saveS: o.saveS,
			dueS: o.dueS ?? null,
		}
		await (await verbs()).submit(where(o), job, o.wait === true)
	})

client(program.command('status'))
	.description('ask for the state of a job')
	.argument('<uid>')
	.action(async (uid: string, o) => (await verbs()).status(where(o), uid))

client(program.command('cancel'))
	.description('cancel a job')
	.argument('<uid>')
	.action(async (uid: string, o) => (await verbs()).cancel(where(o), uid))

client(program.command('watch'))
	.description('print the states of jobs as they change, until all of them are over')
	.argument('[uids...]', 'jobs, submitted already or not')
	.option('--team <name>', "all of a team's jobs instead, without an end")
	.option('--cursor <text>', 'go on behind an earlier event of the same jobs')
	.action(async (uids: string[], o) => {
		if ((uids.length === 0) === (o.team === undefined)) {
			process.stderr.write('heathroad: watch: name jobs or a team, one of the two\n')
			process.exit(EXIT.usage)
		}
		await (await verbs()).watch(where(o), uids, o.team, o.cursor)
	})

const state = program.command('state').description("look at, save and restore the service's state")
const stateTools = () => import('./state-tools.js')
const reading = (verb: Command): Command =>
	verb
		.requiredOption('--config <file>', "the platform's settings (JSON)")
		.option('--ini <file>', "operators' own settings")
const config = (o: { config: string; ini?: string }) => guarded(() => loadConfig(o.config, o.ini))

reading(state.command('check'))
	.description('say what does not fit, a line each; exit code 1 if anything does not')
	.option('--cloud', "compare with the cloud's list of machines too")
	.action(async (o) => (await stateTools()).check(config(o), { withCloud: o.cloud === true }))

reading(state.command('export'))
	.description('write the whole state as of one moment to a file')
	.argument('<file>')
	.action(async (file: string, o) => (await stateTools()).save(config(o), file))

reading(state.command('import'))
	.description('write a saved state into an empty state service; goes on where it was stopped')
	.argument('<file>')
	.action(async (file: string, o) => (await stateTools()).restore(config(o), file))

state
	.command('diff')
	.description('keys in which two saved states differ; exit code 1 if any')
	.argument('<before>')
	.argument('<after>')
	.action(async (before: string, after: string) => (await stateTools()).compare(before, after))

const daemonTools = () => import('./daemon-tools.js')
interface DaemonOptions {
	admin?: string[]
	json?: boolean
}
/** The options of verbs for operators of running controllers. */
const operators = (verb: Command): Command =>
	verb
		.addOption(
			new Option(
				'--admin <address>',
				"a controller's internal address, as IP:PORT; may be given again (default: 127.0.0.1:8081)",
			).argParser(several),
		)
		.option('--json', 'print JSON, as into a pipe')
		.option('--no-json', 'print for a person, as on a terminal')
const at = (o: DaemonOptions) => ({
	admin: o.admin ?? ['127.0.0.1:8081'],
	json: o.json ?? !process.stdout.isTTY,
})

const plugins = program
	.command('plugins')
	.description('look at and steer the plug-ins of running controllers')

operators(plugins.command('list'))
	.description('versions, conditions and counts')
	.action(async (o: DaemonOptions) => (await daemonTools()).list(at(o)))

plugins
	.command('check')
	.description('say whether a folder holds a plug-in that a controller would take; exit code 1 if not')
	.argument('<dir>')
	.action(async (dir: string) => (await daemonTools()).check(dir))

operators(plugins.command('reload'))
	.description('read the INI file and the directory of plug-ins now, and try versions that failed once more')
	.action(async (o: DaemonOptions) => (await daemonTools()).reload(at(o)))

operators(plugins.command('disable'))
	.description('ask a plug-in no more, until it is enabled or its controller restarts')
	.argument('<name>')
	.action(async (name: string, o: DaemonOptions) => (await daemonTools()).disable(at(o), name, true))

operators(plugins.command('enable'))
	.description('ask a plug-in again')
	.argument('<name>')
	.action(async (name: string, o: DaemonOptions) => (await daemonTools()).disable(at(o), name, false))

operators(program.command('drain'))
	.description('end controllers so that neither users nor machines notice, one after the other')
	.action(async (o: DaemonOptions) => (await daemonTools()).drain(at(o)))

program.parseAsync().catch((e) => {
	process.stderr.write(`heathroad: ${(e as Error).message}\n`)
	process.exit(EXIT.refused)
})

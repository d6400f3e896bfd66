import { ConfigError, loadConfig } from '@heathroad/config'
import { type Log, type LogLevel, Service } from '@heathroad/server'
import { type Answer, makeCaller, PRIORITIES, writeSubmission } from '@heathroad/wire'
import { Command, InvalidArgumentError, Option } from 'commander'
import { Effect } from 'effect'

const VERSION = '0.1.0'
/** Exit codes: 0 done, 1 the service said no or gave no answer, 2 wrong settings or arguments. */
const EXIT = { refused: 1, usage: 2 } as const

const LEVELS: readonly LogLevel[] = ['error', 'info', 'debug']

const makeLog = (): Log => {
	const asked = process.env.LOG_LEVEL ?? 'info'
	const known = LEVELS.includes(asked as LogLevel)
	const upTo = known ? LEVELS.indexOf(asked as LogLevel) : 1
	const log: Log = (level, event, fields) => {
		if (LEVELS.indexOf(level) > upTo) return
		process.stderr.write(`${JSON.stringify({ time: new Date().toISOString(), level, event, ...fields })}\n`)
	}
	if (!known) log('error', 'unknown LOG_LEVEL, using info', { asked })
	return log
}

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
	const log = makeLog()
	const service = new Service(config, log)
	process.on('uncaughtException', (e) => service.recover(e))
	process.on('unhandledRejection', (e) => service.recover(e))
	try {
		await service.start()
	} catch (e) {
		process.stderr.write(`heathroad: cannot listen: ${(e as Error).message}\n`)
		process.exit(EXIT.refused)
	}
}

const ask = async (server: string, method: string, path: string, body?: unknown): Promise<void> => {
	const answer = await Effect.runPromise(
		makeCaller(1)
			.call(server, method, path, body, 5000)
			.pipe(
				Effect.match({ onFailure: (e): Answer | string => e.reason, onSuccess: (a): Answer | string => a }),
			),
	)
	if (typeof answer === 'string') {
		process.stderr.write(`heathroad: no answer: ${answer}\n`)
		process.exit(EXIT.refused)
	}
	process.stdout.write(`${JSON.stringify(answer.body)}\n`)
	if (answer.status >= 300) {
		const again = answer.retryAfter === null ? '' : `, come back in ${answer.retryAfter} s`
		process.stderr.write(`heathroad: ${answer.status}${again}\n`)
		process.exit(EXIT.refused)
	}
	process.exit(0)
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
	.description('run one controller until it is killed')
	.option('--ini <file>', "operators' own settings")
	.requiredOption('--config <file>', "the platform's settings (JSON)")
	.action(serve)

program
	.command('check-config')
	.description('say what is wrong with settings, and where')
	.option('--ini <file>', "operators' own settings")
	.requiredOption('--config <file>', "the platform's settings (JSON)")
	.action((options: { config: string; ini?: string }) => {
		const { derived } = guarded(() => loadConfig(options.config, options.ini))
		process.stdout.write(`${JSON.stringify({ ok: true, derived }, null, 2)}\n`)
	})

const server = () => new Option('--server <address>', 'a controller, as IP:PORT').default('127.0.0.1:8080')

program
	.command('submit')
	.description('submit a job')
	.argument('<uid>', 'job id, such as job-000412')
	.addOption(server())
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
	.action((uid: string, o) =>
		ask(
			o.server,
			'POST',
			'/v2/runs',
			writeSubmission({
				uid,
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
			}),
		),
	)

program
	.command('status')
	.description('ask for the state of a job')
	.argument('<uid>')
	.addOption(server())
	.action((uid: string, o) => ask(o.server, 'GET', `/v2/runs/${uid}`))

program
	.command('cancel')
	.description('cancel a job')
	.argument('<uid>')
	.addOption(server())
	.action((uid: string, o) => ask(o.server, 'POST', `/v2/runs/${uid}/withdraw`, {}))

program.parseAsync().catch((e) => {
	process.stderr.write(`heathroad: ${(e as Error).message}\n`)
	process.exit(EXIT.refused)
})

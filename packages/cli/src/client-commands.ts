/** Defines the commands for users: `submit`, `status`, `cancel` and `watch`. */

import { PRIORITIES } from '@heathroad/wire'
import { type Command, Option } from 'commander'
import { collectAddresses, parseList, parseNumber } from './options.js'
import { EXIT, printError } from './output.js'
import type { ClientTarget } from './verbs.js'

const DEFAULT_SERVER = '127.0.0.1:8080'

/** Imports the client on use, so that `serve` does not load it. */
const loadVerbs = () => import('./verbs.js')

interface ClientOptions {
	server?: string[]
	grpc?: string[]
	json?: boolean
	deadlineS?: number
}

const targetOf = ({ server, grpc, json, deadlineS }: ClientOptions): ClientTarget => ({
	httpAddresses: server ?? (grpc === undefined ? [DEFAULT_SERVER] : []),
	grpcAddresses: grpc ?? [],
	json: json ?? null,
	deadlineS,
})

/** Adds the options that all commands for users share. */
const withClientOptions = (command: Command): Command =>
	command
		.addOption(
			new Option(
				'--server <address>',
				`a controller, as IP:PORT; may be given again (default: ${DEFAULT_SERVER})`,
			).argParser(collectAddresses),
		)
		.addOption(
			new Option('--grpc <address>', "a controller's gRPC address, as IP:PORT; may be given again").argParser(
				collectAddresses,
			),
		)
		.option('--json', 'print JSON (default if the output is not a terminal)')
		.option('--no-json', 'print text (default on a terminal)')
		.option('--deadline-s <n>', 'timeout in seconds', parseNumber)

interface SubmitOptions extends ClientOptions {
	class: string
	team: string
	image: string
	imageGb: number
	kind: 'sweep' | 'daemon' | 'gang'
	priority: (typeof PRIORITIES)[number]
	tasks: number
	cpus: number
	gpus: number
	ramGb: number
	types?: string[]
	zone?: string
	samePlace?: boolean
	apart?: boolean
	spot?: boolean
	expectedS: number
	checkpointS: number
	saveS: number
	dueS?: number
	wait?: boolean
}

const submissionOf = (uid: string | undefined, options: SubmitOptions) => ({
	...(uid === undefined ? {} : { uid }),
	jobClass: options.class,
	team: options.team,
	kind: options.kind,
	priority: options.priority,
	tasks: options.tasks,
	cpus: options.cpus,
	gpus: options.gpus,
	ramGb: options.ramGb,
	types: options.types ?? null,
	zone: options.zone ?? null,
	samePlace: options.samePlace === true,
	apart: options.apart === true,
	spot: options.spot === true,
	image: options.image,
	imageGb: options.imageGb,
	expectedS: options.expectedS,
	checkpointS: options.checkpointS,
	saveS: options.saveS,
	dueS: options.dueS ?? null,
})

const withJobOptions = (command: Command): Command =>
	command
		.requiredOption('--class <name>', 'class of jobs')
		.requiredOption('--team <name>', 'team whose guarantee and limit apply')
		.requiredOption('--image <name>', 'image of the tasks')
		.option('--image-gb <n>', 'size of the image in GB', parseNumber, 0)
		.addOption(new Option('--kind <kind>').choices(['sweep', 'daemon', 'gang']).default('sweep'))
		.addOption(new Option('--priority <priority>').choices([...PRIORITIES]).default('normal'))
		.option('--tasks <n>', 'number of tasks', parseNumber, 1)
		.option('--cpus <n>', 'CPUs per task', parseNumber, 1)
		.option('--gpus <n>', 'GPUs per task', parseNumber, 0)
		.option('--ram-gb <n>', 'memory per task in GB', parseNumber, 1)
		.option('--types <a,b>', 'allowed machine types', parseList)
		.option('--zone <zone>', 'the only allowed zone')
		.option('--same-place', 'all tasks in one zone')
		.option('--apart', 'at most half of the tasks in one zone')
		.option('--spot', 'may use spot machines')
		.option('--expected-s <n>', 'expected run time of a task in seconds', parseNumber, 60)
		.option(
			'--checkpoint-s <n>',
			'checkpoint interval of a task in seconds; 0: no checkpoints',
			parseNumber,
			0,
		)
		.option('--save-s <n>', 'time that a task needs for a checkpoint, in seconds', parseNumber, 0)
		.option('--due-s <n>', 'deadline in seconds after the submission', parseNumber)
		.option('--wait', 'wait until the job has finished')

const addSubmit = (program: Command): void => {
	const command = withClientOptions(program.command('submit'))
		.description('submit a job')
		.argument('[uid]', 'job id, such as job-000412; generated if left out')
	withJobOptions(command).action(async (uid: string | undefined, options: SubmitOptions) => {
		const { submit } = await loadVerbs()
		await submit(targetOf(options), submissionOf(uid, options), { wait: options.wait === true })
	})
}

const addStatus = (program: Command): void => {
	withClientOptions(program.command('status'))
		.description('print the state of a job')
		.argument('<uid>')
		.action(async (uid: string, options: ClientOptions) => (await loadVerbs()).status(targetOf(options), uid))
}

const addCancel = (program: Command): void => {
	withClientOptions(program.command('cancel'))
		.description('cancel a job')
		.argument('<uid>')
		.action(async (uid: string, options: ClientOptions) => (await loadVerbs()).cancel(targetOf(options), uid))
}

interface WatchOptions extends ClientOptions {
	team?: string
	cursor?: string
}

const watch = async (uids: string[], options: WatchOptions): Promise<void> => {
	const { team, cursor } = options
	if ((uids.length === 0) === (team === undefined)) {
		printError('watch: name jobs or a team, one of the two')
		process.exit(EXIT.usage)
	}
	const selection = team === undefined ? { uids } : { team }
	await (await loadVerbs()).watch(targetOf(options), selection, cursor)
}

const addWatch = (program: Command): void => {
	withClientOptions(program.command('watch'))
		.description('print the states of jobs as they change, until all of them have finished')
		.argument('[uids...]', 'job ids; the jobs may be submitted later')
		.option('--team <name>', 'watch all jobs of a team instead, until interrupted')
		.option('--cursor <text>', 'resume after an earlier event of the same jobs')
		.action(watch)
}

/** Adds the commands for users. */
export const addClientCommands = (program: Command): void => {
	addSubmit(program)
	addStatus(program)
	addCancel(program)
	addWatch(program)
}

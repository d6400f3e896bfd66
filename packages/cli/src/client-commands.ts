/** The commands of users: `submit`, `status`, `cancel` and `watch`. */

import { PRIORITIES } from '@heathroad/wire'
import { type Command, Option } from 'commander'
import { collectAddresses, parseList, parseNumber } from './options.js'
import { EXIT, printError } from './output.js'
import type { ClientTarget } from './verbs.js'

const DEFAULT_SERVER = '127.0.0.1:8080'

/** Loaded on use, so that a controller does not load the client. */
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

/** Adds the options of every command that calls a service. */
const withClientOptions = (command: Command): Command =>
	command
		.addOption(
			new Option(
				'--server <address>',
				`a controller, as IP:PORT; may be given again (default: ${DEFAULT_SERVER})`,
			).argParser(collectAddresses),
		)
		.addOption(
			new Option('--grpc <address>', "a controller's face for gRPC; may be given again").argParser(
				collectAddresses,
			),
		)
		.option('--json', 'print JSON, as into a pipe')
		.option('--no-json', 'print for a person, as on a terminal')
		.option('--deadline-s <n>', 'give up after so many seconds', parseNumber)

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
		.requiredOption('--image <name>', 'image the tasks need')
		.option('--image-gb <n>', 'size of the image', parseNumber, 0)
		.addOption(new Option('--kind <kind>').choices(['sweep', 'daemon', 'gang']).default('sweep'))
		.addOption(new Option('--priority <priority>').choices([...PRIORITIES]).default('normal'))
		.option('--tasks <n>', 'number of tasks', parseNumber, 1)
		.option('--cpus <n>', 'CPUs of a task', parseNumber, 1)
		.option('--gpus <n>', 'GPUs of a task', parseNumber, 0)
		.option('--ram-gb <n>', 'memory of a task', parseNumber, 1)
		.option('--types <a,b>', 'allowed machine types', parseList)
		.option('--zone <zone>', 'the only allowed zone')
		.option('--same-place', 'all tasks in one zone')
		.option('--apart', 'at most half of the tasks in one zone')
		.option('--spot', 'may use spot machines')
		.option('--expected-s <n>', 'run time of a task', parseNumber, 60)
		.option('--checkpoint-s <n>', 'a task saves its progress this often; 0: never', parseNumber, 0)
		.option('--save-s <n>', 'time a task needs to save', parseNumber, 0)
		.option('--due-s <n>', 'deadline after submission', parseNumber)
		.option('--wait', 'until the job is over')

const addSubmit = (program: Command): void => {
	const command = withClientOptions(program.command('submit'))
		.description('submit a job')
		.argument('[uid]', 'job id, such as job-000412; made for you if left out')
	withJobOptions(command).action(async (uid: string | undefined, options: SubmitOptions) => {
		const { submit } = await loadVerbs()
		await submit(targetOf(options), submissionOf(uid, options), { wait: options.wait === true })
	})
}

const addStatus = (program: Command): void => {
	withClientOptions(program.command('status'))
		.description('ask for the state of a job')
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
		.description('print the states of jobs as they change, until all of them are over')
		.argument('[uids...]', 'jobs, submitted already or not')
		.option('--team <name>', "all of a team's jobs instead, without an end")
		.option('--cursor <text>', 'go on behind an earlier event of the same jobs')
		.action(watch)
}

/** Adds the commands of users. */
export const addClientCommands = (program: Command): void => {
	addSubmit(program)
	addStatus(program)
	addCancel(program)
	addWatch(program)
}

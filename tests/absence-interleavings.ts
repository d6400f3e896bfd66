/**
 * Scenarios in which a finished job's terminal state moves while a controller looks it up: a controller of the real
 * service, and a fake state service that applies another controller's writes at chosen moments of the lookup.
 */
import { advanceArchivalEpoch } from '@heathroad/cluster'
import type { Service } from '@heathroad/server'
import { KEY_PREFIX } from '@heathroad/store'
import { type FakeResponse, Simulation } from '@heathroad/testkit'
import { isMap } from '@heathroad/wire'
import { type HeldRequest, holdRequests, OtherController } from './held-requests.js'

/** Finished before the simulation starts; the full read at startup leaves its state out of memory. */
export const FINISHED = 'job-000001'
/** Other finished jobs, with later revisions. */
const OTHER_JOBS = ['job-000011', 'job-000012', 'job-000013', 'job-000014', 'job-000015']
const SHARD = 0
/** Index of the controller that receives the requests. */
const QUERIED_CONTROLLER = 0
/** When the request is sent, and when a watch that is still held is released, in s. */
export const REQUEST_AT_S = 5.4
const WATCH_HELD_UNTIL_S = 6.4
const RUN_UNTIL_S = 9.5
const TOO_MANY_REQUESTS: FakeResponse = { status: 429, body: {} }
const COMPACTED: FakeResponse = { status: 410, body: {} }
/** Interval of the checks that the finished job is neither open nor running again, in ms. */
const RERUN_CHECK_INTERVAL_MS = 500
/** Poll interval of `once`, in ms. */
const POLL_INTERVAL_MS = 5

/** What happens at each request of the lookup. Each callback serves its request, immediately or later. */
export interface Interleaving {
	name: string
	/** the format record does not exist at the start */
	isFirstFormat?: boolean
	/** the archive reader has no page in memory, as after a full read */
	isCold?: boolean
	/** first read of the job's own key */
	onKeyRead(scenario: MovingStateScenario, read: HeldRequest): void
	/** first read of the first archive level after that */
	onLevelRead?(scenario: MovingStateScenario, read: HeldRequest): void
	/** the write that would accept the finished job again */
	onAcceptance?(scenario: MovingStateScenario, write: HeldRequest): void
}

const acceptsFinishedJob = (body: unknown): boolean =>
	isMap(body) &&
	Array.isArray(body.apply) &&
	body.apply.some(
		(mutation) =>
			String(mutation.set).startsWith(`${KEY_PREFIX}intake/`) &&
			JSON.stringify(mutation.data).includes(FINISHED),
	)

/** By default, a single controller receives requests for the finished job. */
export interface ScenarioOptions {
	untilS?: number
	/** the job whose lookup is interleaved */
	uid?: string
	/** number of controllers; all but the first see every change immediately */
	controllers?: number
	onStarted?: (scenario: MovingStateScenario, node: Service) => void
}

/** A simulation of one interleaving. */
export class MovingStateScenario {
	readonly simulation: Simulation
	/** makes the writes of another owner of the shard */
	readonly otherController: OtherController
	readonly log: string[] = []
	readonly answers: string[] = []
	/** the job's own key was read after the request, so the interleaving took place */
	isKeyRead = false
	/** the queried controller's reads of the state service, except those of its watch */
	readonly reads: string[] = []
	/** a full read took place after the request */
	hasReadAll = false
	/** a machine ran a task of the finished job */
	hasRunAgain = false
	/** a controller had the finished job among its open jobs */
	wasOpenAgain = false
	private currentNode: Service | null = null
	private isRequestSent = false
	private isLevelRead = false
	private isAccepting = false
	private heldReplies: (() => void)[] | null = null
	private isCompacted = false

	private readonly uid: string
	/** the controllers that receive no requests */
	private readonly followers: Service[] = []

	constructor(
		private readonly interleaving: Interleaving,
		{ untilS = RUN_UNTIL_S, uid = FINISHED, controllers = 1, onStarted = () => {} }: ScenarioOptions = {},
	) {
		this.uid = uid
		const day = { seed: 11, untilS, jobs: [], faults: [], controllers, up: 4, capacity: 0 }
		this.simulation = new Simulation(day)
		const { state } = this.simulation
		const need = { team: 'core', cpus: 1, gpus: 0, ramGb: 1 }
		for (const uid of [FINISHED, ...OTHER_JOBS])
			state.put(`${KEY_PREFIX}job/${uid}`, { part: SHARD, final: 'done', tasks: 4, need })
		if (!interleaving.isFirstFormat) state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: true })
		this.otherController = new OtherController(
			holdRequests(state, (request) => this.onRequest(request)),
			SHARD,
		)
		this.simulation.onLogLine = (line) => this.log.push(line)
		this.simulation.onStarted = (controller, node) => {
			if (controller !== QUERIED_CONTROLLER) {
				this.followers.push(node)
				return
			}
			this.currentNode = node
			onStarted(this, node)
		}
	}

	/** The controller that receives the requests. */
	get node(): Service {
		if (this.currentNode === null) throw new Error('the controller has not started')
		return this.currentNode
	}

	/** Runs the simulation and calls `send` when the requests are due. */
	async run(send: (scenario: MovingStateScenario) => void): Promise<void> {
		const { clock } = this.simulation
		clock.after(REQUEST_AT_S * 1000, () => {
			if (this.interleaving.isCold) this.node.archive.reader.reset(this.node.cache.revision)
			this.isRequestSent = true
			send(this)
		})
		clock.after(WATCH_HELD_UNTIL_S * 1000, () => this.releaseWatch())
		this.checkForReruns()
		await this.simulation.run()
	}

	/** Sends an HTTP request; the answer is `STATUS` or `STATUS STATE`. */
	request(
		method: string,
		path: string,
		body?: unknown,
		done = (answer: string) => void this.answers.push(answer),
	): void {
		void this.simulation.sendRequest(QUERIED_CONTROLLER, method, path, body).then((response) => {
			const state = (response?.body as { status?: string } | undefined)?.status
			done([response?.status ?? 'none', ...(state === undefined ? [] : [state])].join(' '))
		})
	}

	/** Holds back all responses to watches from now on. */
	holdWatch(): void {
		this.heldReplies ??= []
	}

	/** Delivers the held responses to watches, and those to come. */
	releaseWatch(): void {
		const held = this.heldReplies ?? []
		this.heldReplies = null
		for (const deliver of held) deliver()
	}

	/** Answers the next watch with 410 (its revision is compacted), which forces a full read. */
	compactWatch(): void {
		this.isCompacted = true
	}

	/** Calls back as soon as the condition holds. */
	once(condition: () => boolean, done: () => void): void {
		if (condition()) done()
		else this.simulation.clock.after(POLL_INTERVAL_MS, () => this.once(condition, done))
	}

	isInMemory(): boolean {
		return this.node.jobs.isOnTerminalPage(FINISHED)
	}

	private checkForReruns(): void {
		for (const worker of this.simulation.workers.values())
			for (const task of worker.runningTasks()) if (task.startsWith(FINISHED)) this.hasRunAgain = true
		const nodes = [...this.followers, ...(this.currentNode === null ? [] : [this.currentNode])]
		if (nodes.some(({ jobs }) => jobs.openJobs.has(FINISHED))) this.wasOpenAgain = true
		this.simulation.clock.after(RERUN_CHECK_INTERVAL_MS, () => this.checkForReruns())
	}

	/** Moves the finished job's state to a terminal-state page. */
	move(): void {
		this.otherController.moveToPage(FINISHED)
	}

	/** Closes the page and moves it to the archive; calls back when the followers know the change. */
	archive(done: () => void = () => {}): void {
		this.otherController.moveToPage(OTHER_JOBS[0])
		const revision = this.otherController.archivePages()
		this.once(() => this.followers.every(({ cache }) => cache.revision >= revision), done)
	}

	/** Writes the format record. */
	changeFormat(): void {
		this.otherController.write(
			advanceArchivalEpoch(this.otherController, { format: 2, archivalEpoch: 1, legacy: true }),
		)
	}

	/** Completes the migration, archives all of its pages but the last, and updates the format record. */
	completeMigration(): void {
		for (const uid of [FINISHED, ...OTHER_JOBS]) this.otherController.moveToPage(uid)
		this.otherController.archivePages()
		this.otherController.write(
			advanceArchivalEpoch(this.otherController, { format: 2, archivalEpoch: 2, legacy: false }),
		)
	}

	/** Starts the next archival epoch and returns its revision. */
	startEpoch(): number {
		return this.otherController.write(
			advanceArchivalEpoch(this.otherController, { format: 2, archivalEpoch: 2, legacy: true }),
		)
	}

	private onRequest(request: HeldRequest): void {
		const { path, client } = request
		const isRead = path.startsWith('/store?') || path.endsWith('&blockMs=0')
		if (client === QUERIED_CONTROLLER && isRead) this.reads.push(path)
		if (path.startsWith('/watch') && client === QUERIED_CONTROLLER)
			request.serve((response) => this.onWatchAnswered(request, response))
		// Holds off the controllers' own migration.
		else if (path.startsWith(`/store?under=${KEY_PREFIX}job/&`)) request.reply(TOO_MANY_REQUESTS)
		else if (client === QUERIED_CONTROLLER) this.serveInterleaved(request)
		else request.serve()
	}

	private serveInterleaved(request: HeldRequest): void {
		const { path, body } = request
		const { interleaving } = this
		if (this.isRequestSent && path.startsWith(`/store?under=${KEY_PREFIX}&`)) this.hasReadAll = true
		if (
			this.isRequestSent &&
			!this.isKeyRead &&
			path.startsWith(`/store?under=${KEY_PREFIX}job/${this.uid}&`)
		) {
			this.isKeyRead = true
			interleaving.onKeyRead(this, request)
		} else if (this.isKeyRead && !this.isLevelRead && path.startsWith('/store?under=heathroad-past/1/')) {
			this.isLevelRead = true
			if (interleaving.onLevelRead === undefined) request.serve()
			else interleaving.onLevelRead(this, request)
		} else if (this.isKeyRead && !this.isAccepting && path === '/txn' && acceptsFinishedJob(body)) {
			this.isAccepting = true
			if (interleaving.onAcceptance === undefined) request.serve()
			else interleaving.onAcceptance(this, request)
		} else request.serve()
	}

	private onWatchAnswered(request: HeldRequest, response: FakeResponse): void {
		const deliver = () => {
			const isCompacted = this.isCompacted
			this.isCompacted = false
			request.reply(isCompacted ? COMPACTED : response)
		}
		if (this.heldReplies === null) deliver()
		else this.heldReplies.push(deliver)
	}
}

/** The ways in which a move can interleave with a lookup of the state. */
export const INTERLEAVINGS: readonly Interleaving[] = [
	{
		name: 'the read of the key shows the move before the watch does',
		onKeyRead: (scenario, read) => {
			scenario.holdWatch()
			scenario.move()
			read.serve()
		},
	},
	{
		name: 'the move is in memory by the time the read of the key returns',
		onKeyRead: (scenario, read) => {
			scenario.move()
			read.serve((response) =>
				scenario.once(
					() => scenario.isInMemory(),
					() => read.reply(response),
				),
			)
		},
	},
	{
		name: 'a full read is applied between the read of the key and its response',
		onKeyRead: (scenario, read) => {
			scenario.compactWatch()
			scenario.move()
			read.serve((response) =>
				scenario.once(
					() => scenario.hasReadAll && scenario.isInMemory(),
					() => read.reply(response),
				),
			)
		},
	},
	{
		name: 'the format record appears with the move, before the watch shows either',
		isFirstFormat: true,
		onKeyRead: (scenario, read) => {
			scenario.holdWatch()
			scenario.changeFormat()
			scenario.move()
			read.serve()
		},
	},
	{
		name: 'the format record and the move are in memory by the time the read of the key returns',
		isFirstFormat: true,
		onKeyRead: (scenario, read) => {
			scenario.changeFormat()
			scenario.move()
			read.serve((response) =>
				scenario.once(
					() => scenario.isInMemory(),
					() => read.reply(response),
				),
			)
		},
	},
	{
		name: 'the state is archived immediately, the watch does not show it yet, and the level is in memory',
		onKeyRead: (scenario, read) => {
			scenario.holdWatch()
			scenario.move()
			scenario.archive(() => read.serve())
		},
	},
	{
		name: 'the state is archived immediately, the watch does not show it yet, and the level is not in memory',
		isCold: true,
		onKeyRead: (scenario, read) => {
			scenario.holdWatch()
			scenario.move()
			scenario.archive()
			read.serve()
		},
	},
	{
		name: 'the state is archived immediately, and the watch shows that before the read of the key returns',
		onKeyRead: (scenario, read) => {
			scenario.move()
			scenario.once(
				() => scenario.isInMemory(),
				() => {
					scenario.archive()
					read.serve((response) =>
						scenario.once(
							() => !scenario.isInMemory(),
							() => read.reply(response),
						),
					)
				},
			)
		},
	},
	{
		name: 'the state is archived between the reads of the key and of the level',
		isCold: true,
		onKeyRead: (scenario, read) => {
			scenario.holdWatch()
			scenario.move()
			read.serve()
		},
		onLevelRead: (scenario, read) => {
			scenario.archive()
			read.serve()
		},
	},
	{
		name: 'the state is archived after the read of the level, and the watch shows both moves after the reads',
		isCold: true,
		onKeyRead: (scenario, read) => {
			scenario.holdWatch()
			scenario.move()
			read.serve()
		},
		onLevelRead: (scenario, read) => {
			read.serve()
			scenario.archive()
			scenario.simulation.clock.after(100, () => scenario.releaseWatch())
		},
	},
	{
		name: 'the state is archived after the read of the level, and the watch shows it before that read returns',
		isCold: true,
		onKeyRead: (scenario, read) => {
			scenario.move()
			read.serve((response) =>
				scenario.once(
					() => scenario.isInMemory(),
					() => read.reply(response),
				),
			)
		},
		onLevelRead: (scenario, read) =>
			read.serve((response) => {
				scenario.archive()
				scenario.once(
					() => !scenario.isInMemory(),
					() => read.reply(response),
				)
			}),
	},
]

/** Interleavings with a repeated submission: also moves that precede the write that accepts the job. */
export const ACCEPTANCE_INTERLEAVINGS: readonly Interleaving[] = [
	...INTERLEAVINGS,
	{
		name: 'the state is archived before the acceptance is executed, and the watch does not show it yet',
		onKeyRead: (scenario, read) => {
			scenario.holdWatch()
			scenario.move()
			read.serve()
		},
		onAcceptance: (scenario, write) => {
			scenario.archive(() => write.serve())
		},
	},
	{
		name: 'the state is archived while the acceptance is in flight, and the watch shows it',
		onKeyRead: (scenario, read) => {
			scenario.holdWatch()
			scenario.move()
			read.serve()
		},
		onAcceptance: (scenario, write) => {
			scenario.releaseWatch()
			scenario.once(
				() => scenario.isInMemory(),
				() => {
					scenario.archive()
					scenario.once(
						() => !scenario.isInMemory(),
						() => write.serve(),
					)
				},
			)
		},
	},
]

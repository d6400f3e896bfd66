/**
 * A finished job whose terminal state moves while a controller looks for it: one controller of the real service, and a
 * state service that carries out what others write at chosen moments of the look-up.
 */
import { advanceArchivalEpoch } from '@heathroad/cluster'
import type { Service } from '@heathroad/server'
import { KEY_PREFIX } from '@heathroad/store'
import { type FakeResponse, Simulation } from '@heathroad/testkit'
import { isMap } from '@heathroad/wire'
import { type HeldRequest, holdRequests, OtherController } from './held-state.js'

/** The job that is finished before the day; its state was left out of memory by a full read. */
export const FINISHED = 'job-000001'
/** Other finished jobs, of later revisions. */
const OTHERS = ['job-000011', 'job-000012', 'job-000013', 'job-000014', 'job-000015']
const SHARD = 0
/** The controller that is asked. */
const ASKED = 0
/** When the question is asked, and until when the watch is held at the latest, in seconds. */
export const ASKED_AT_S = 5.4
const HELD_UNTIL_S = 6.4
const UNTIL_S = 9.5
const TOO_MANY_REQUESTS: FakeResponse = { status: 429, body: {} }
const COMPACTED: FakeResponse = { status: 410, body: {} }
/** How often machines and controllers are looked at, in ms. */
const LOOK_FOR_RUNS_MS = 500
/** How often the test looks whether something is in memory, in ms. */
const LOOK_MS = 5

/** What happens at which request of the look-up; the request is served by the order, then or later. */
export interface Order {
	name: string
	/** no record of the format exists before the day */
	isFirstFormat?: boolean
	/** the reader has no page of the archive in memory, as after a full read */
	isCold?: boolean
	/** the job's own key is read for the first time */
	onKeyRead(world: MovingWorld, read: HeldRequest): void
	/** the first level of the archive is read for the first time after that */
	onLevelRead?(world: MovingWorld, read: HeldRequest): void
	/** the finished job is about to be accepted anew */
	onAcceptance?(world: MovingWorld, write: HeldRequest): void
}

const namesInBatch = (body: unknown): boolean =>
	isMap(body) &&
	Array.isArray(body.apply) &&
	body.apply.some(
		(mutation) =>
			String(mutation.set).startsWith(`${KEY_PREFIX}intake/`) &&
			JSON.stringify(mutation.data).includes(FINISHED),
	)

/** What differs from a day of one controller that is asked for the finished job. */
export interface WorldOptions {
	untilS?: number
	/** the job whose look-up is followed */
	uid?: string
	/** all but the first see every change at once */
	controllers?: number
	onStarted?: (world: MovingWorld, node: Service) => void
}

/** One day in one order. */
export class MovingWorld {
	readonly simulation: Simulation
	/** writes what another owner of the shard would write */
	readonly others: OtherController
	readonly log: string[] = []
	readonly answers: string[] = []
	/** the own key was read after the question, so the order was played */
	isPlayed = false
	/** reads of the state service by the asked controller that the follower of the changes does not make */
	readonly reads: string[] = []
	/** all keys were read after the question */
	hasReadAll = false
	/** a machine ran a task of the finished job */
	hasRunAgain = false
	/** a controller held the finished job for open */
	wasOpenAgain = false
	private currentNode: Service | null = null
	private isAsked = false
	private isLevelRead = false
	private isAccepting = false
	private heldReplies: (() => void)[] | null = null
	private isCompacted = false

	private readonly uid: string
	/** controllers that are not asked */
	private readonly followers: Service[] = []

	constructor(
		private readonly order: Order,
		{ untilS = UNTIL_S, uid = FINISHED, controllers = 1, onStarted = () => {} }: WorldOptions = {},
	) {
		this.uid = uid
		const day = { seed: 11, untilS, jobs: [], faults: [], controllers, up: 4, capacity: 0 }
		this.simulation = new Simulation(day)
		const { state } = this.simulation
		const need = { team: 'core', cpus: 1, gpus: 0, ramGb: 1 }
		for (const uid of [FINISHED, ...OTHERS])
			state.put(`${KEY_PREFIX}job/${uid}`, { part: SHARD, final: 'done', tasks: 4, need })
		if (!order.isFirstFormat) state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: true })
		this.others = new OtherController(
			holdRequests(state, (request) => this.onRequest(request)),
			SHARD,
		)
		this.simulation.onLogLine = (line) => this.log.push(line)
		this.simulation.onStarted = (controller, node) => {
			if (controller !== ASKED) {
				this.followers.push(node)
				return
			}
			this.currentNode = node
			onStarted(this, node)
		}
	}

	/** The controller that is asked. */
	get node(): Service {
		if (this.currentNode === null) throw new Error('the controller has not started')
		return this.currentNode
	}

	/** Plays the day: `ask` is called when the finished job is to be asked for. */
	async play(ask: (world: MovingWorld) => void): Promise<void> {
		const { clock } = this.simulation
		clock.after(ASKED_AT_S * 1000, () => {
			if (this.order.isCold) this.node.archive.reader.reset(this.node.cache.revision)
			this.isAsked = true
			ask(this)
		})
		clock.after(HELD_UNTIL_S * 1000, () => this.releaseWatch())
		this.lookForRuns()
		await this.simulation.run()
	}

	/** Asks over HTTP; the answer is `STATUS` or `STATUS STATE`. */
	request(
		method: string,
		path: string,
		body?: unknown,
		done = (answer: string) => void this.answers.push(answer),
	): void {
		void this.simulation.sendRequest(ASKED, method, path, body).then((response) => {
			const state = (response?.body as { status?: string } | undefined)?.status
			done([response?.status ?? 'none', ...(state === undefined ? [] : [state])].join(' '))
		})
	}

	/** Responses to watches are held from now on. */
	holdWatch(): void {
		this.heldReplies ??= []
	}

	/** Responses to watches are delivered. */
	releaseWatch(): void {
		const held = this.heldReplies ?? []
		this.heldReplies = null
		for (const deliver of held) deliver()
	}

	/** The next watch is answered that its revision is not kept any more, so everything is read anew. */
	compactWatch(): void {
		this.isCompacted = true
	}

	/** Calls back once something is the case. */
	once(isSo: () => boolean, done: () => void): void {
		if (isSo()) done()
		else this.simulation.clock.after(LOOK_MS, () => this.once(isSo, done))
	}

	isInMemory(): boolean {
		return this.node.jobs.isOnTerminalPage(FINISHED)
	}

	private lookForRuns(): void {
		for (const worker of this.simulation.workers.values())
			for (const task of worker.runningTasks()) if (task.startsWith(FINISHED)) this.hasRunAgain = true
		const nodes = [...this.followers, ...(this.currentNode === null ? [] : [this.currentNode])]
		if (nodes.some(({ jobs }) => jobs.openJobs.has(FINISHED))) this.wasOpenAgain = true
		this.simulation.clock.after(LOOK_FOR_RUNS_MS, () => this.lookForRuns())
	}

	/** Moves the finished job's state to a page. */
	move(): void {
		this.others.moveToPage(FINISHED)
	}

	/** Closes the page and moves it to the archive; calls back once the controllers that are not asked know that. */
	archive(done: () => void = () => {}): void {
		this.others.moveToPage(OTHERS[0])
		const revision = this.others.archivePages()
		this.once(() => this.followers.every(({ cache }) => cache.revision >= revision), done)
	}

	/** Writes the record of the format. */
	changeFormat(): void {
		this.others.write(advanceArchivalEpoch(this.others, { format: 2, archivalEpoch: 1, legacy: true }))
	}

	/** Completes the migration and archives all of its pages but the last; the record of the format says so. */
	completeMigration(): void {
		for (const uid of [FINISHED, ...OTHERS]) this.others.moveToPage(uid)
		this.others.archivePages()
		this.others.write(advanceArchivalEpoch(this.others, { format: 2, archivalEpoch: 2, legacy: false }))
	}

	/** Begins the next archival epoch, and returns its revision. */
	beginEpoch(): number {
		return this.others.write(advanceArchivalEpoch(this.others, { format: 2, archivalEpoch: 2, legacy: true }))
	}

	private onRequest(request: HeldRequest): void {
		const { path, client } = request
		const isRead = path.startsWith('/store?') || path.endsWith('&blockMs=0')
		if (client === ASKED && isRead) this.reads.push(path)
		if (path.startsWith('/watch') && client === ASKED)
			request.serve((response) => this.onWatchAnswered(request, response))
		// The controllers' own migration has to wait.
		else if (path.startsWith(`/store?under=${KEY_PREFIX}job/&`)) request.reply(TOO_MANY_REQUESTS)
		else if (client === ASKED) this.serveInOrder(request)
		else request.serve()
	}

	private serveInOrder(request: HeldRequest): void {
		const { path, body } = request
		const { order } = this
		if (this.isAsked && path.startsWith(`/store?under=${KEY_PREFIX}&`)) this.hasReadAll = true
		if (this.isAsked && !this.isPlayed && path.startsWith(`/store?under=${KEY_PREFIX}job/${this.uid}&`)) {
			this.isPlayed = true
			order.onKeyRead(this, request)
		} else if (this.isPlayed && !this.isLevelRead && path.startsWith('/store?under=heathroad-past/1/')) {
			this.isLevelRead = true
			if (order.onLevelRead === undefined) request.serve()
			else order.onLevelRead(this, request)
		} else if (this.isPlayed && !this.isAccepting && path === '/txn' && namesInBatch(body)) {
			this.isAccepting = true
			if (order.onAcceptance === undefined) request.serve()
			else order.onAcceptance(this, request)
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

/** The orders in which a state may move while it is looked for. */
export const ORDERS: readonly Order[] = [
	{
		name: 'the read of the key shows the move, and the watch does not yet',
		onKeyRead: (world, read) => {
			world.holdWatch()
			world.move()
			read.serve()
		},
	},
	{
		name: 'the move is in memory by the time the read of the key returns',
		onKeyRead: (world, read) => {
			world.move()
			read.serve((response) =>
				world.once(
					() => world.isInMemory(),
					() => read.reply(response),
				),
			)
		},
	},
	{
		name: 'a full read is applied between the read of the key and the answer',
		onKeyRead: (world, read) => {
			world.compactWatch()
			world.move()
			read.serve((response) =>
				world.once(
					() => world.hasReadAll && world.isInMemory(),
					() => read.reply(response),
				),
			)
		},
	},
	{
		name: 'the record of the format appears with the move, and the watch does not show them yet',
		isFirstFormat: true,
		onKeyRead: (world, read) => {
			world.holdWatch()
			world.changeFormat()
			world.move()
			read.serve()
		},
	},
	{
		name: 'the record of the format and the move are in memory by the time the read of the key returns',
		isFirstFormat: true,
		onKeyRead: (world, read) => {
			world.changeFormat()
			world.move()
			read.serve((response) =>
				world.once(
					() => world.isInMemory(),
					() => read.reply(response),
				),
			)
		},
	},
	{
		name: 'the state is archived on at once, the watch does not show it yet, and the level was read before',
		onKeyRead: (world, read) => {
			world.holdWatch()
			world.move()
			world.archive(() => read.serve())
		},
	},
	{
		name: 'the state is archived on at once, the watch does not show it yet, and the level was not read before',
		isCold: true,
		onKeyRead: (world, read) => {
			world.holdWatch()
			world.move()
			world.archive()
			read.serve()
		},
	},
	{
		name: 'the state is archived on at once, and the watch shows that before the read of the key returns',
		onKeyRead: (world, read) => {
			world.move()
			world.once(
				() => world.isInMemory(),
				() => {
					world.archive()
					read.serve((response) =>
						world.once(
							() => !world.isInMemory(),
							() => read.reply(response),
						),
					)
				},
			)
		},
	},
	{
		name: 'the state is archived on between the reads of the key and of the level',
		isCold: true,
		onKeyRead: (world, read) => {
			world.holdWatch()
			world.move()
			read.serve()
		},
		onLevelRead: (world, read) => {
			world.archive()
			read.serve()
		},
	},
	{
		name: 'the state is archived on after the read of the level, and the watch shows all of it after the reads',
		isCold: true,
		onKeyRead: (world, read) => {
			world.holdWatch()
			world.move()
			read.serve()
		},
		onLevelRead: (world, read) => {
			read.serve()
			world.archive()
			world.simulation.clock.after(100, () => world.releaseWatch())
		},
	},
	{
		name: 'the state is archived on after the read of the level, and the watch shows it before that read returns',
		isCold: true,
		onKeyRead: (world, read) => {
			world.move()
			read.serve((response) =>
				world.once(
					() => world.isInMemory(),
					() => read.reply(response),
				),
			)
		},
		onLevelRead: (world, read) =>
			read.serve((response) => {
				world.archive()
				world.once(
					() => !world.isInMemory(),
					() => read.reply(response),
				)
			}),
	},
]

/** Orders of a repeated submission, where the move and what follows it come before the write that accepts the job. */
export const ACCEPTANCE_ORDERS: readonly Order[] = [
	...ORDERS,
	{
		name: 'the state is archived on before the acceptance is carried out, and the watch does not show it yet',
		onKeyRead: (world, read) => {
			world.holdWatch()
			world.move()
			read.serve()
		},
		onAcceptance: (world, write) => {
			world.archive(() => write.serve())
		},
	},
	{
		name: 'the state is archived on while the acceptance is under way, and the watch shows it',
		onKeyRead: (world, read) => {
			world.holdWatch()
			world.move()
			read.serve()
		},
		onAcceptance: (world, write) => {
			world.releaseWatch()
			world.once(
				() => world.isInMemory(),
				() => {
					world.archive()
					world.once(
						() => !world.isInMemory(),
						() => write.serve(),
					)
				},
			)
		},
	},
]

/**
 * Controllers of the real service that read the state service only when a test says so, and the records that others write
 * meanwhile. For tests that force the order of reads, changes and streams.
 */
import {
	type AcceptedJobRecord,
	encodeAcceptedBatch,
	encodeHistoryRecord,
	encodeJobRecord,
	encodeTerminalPage,
	HISTORY_KEY,
	jobKey,
	RECORD_FORMAT,
	type TerminalBatch,
	terminalJobRecord,
	terminalPageKey,
	toTerminalJob,
} from '@heathroad/cluster'
import { DEFAULT_OPERATOR_SETTINGS, defaultHistorySettings, deriveLimits } from '@heathroad/config'
import { EventHub, type Selection, type StreamEndReason, type Subscription } from '@heathroad/events'
import { ServiceRecords } from '@heathroad/grpc'
import { archivePageKey, encodeArchivePage, ORDINAL_END, ordinalOf, packJobs } from '@heathroad/history'
import { Service } from '@heathroad/server'
import { createStoreClient, KEY_PREFIX, type StoreClient } from '@heathroad/store'
import { arrayJob, type Clock, FakeStateStore, plainSettings } from '@heathroad/testkit'
import {
	decode,
	encode,
	type HttpClient,
	type HttpResponse,
	type Mutation,
	NoResponse,
} from '@heathroad/wire'
import { Effect } from 'effect'
import { takeEvents } from './fake-event-controller.js'

const TASKS = 5
const SHARD = 0
/** Its id, which signs cursors. */
export const INSTALLATION = 'here'
/** Each look at a controller's clock finds it so much later: no read waits for its turn. */
const STEP_MS = 1000
/** More keys than one page of a full read holds; they come before the jobs' keys. */
const KEYS_OF_FIRST_PAGE = 1000

/** Time that stands still: nothing happens at the state service but what a test writes. */
const STILL: Clock = {
	nowMs: 0,
	after: () => ({ cancelled: false }),
	random: () => 0,
	between: (from) => from,
}

/** The records of an installation, as its controllers write them. */
export class Records {
	readonly state: FakeStateStore
	private readonly batches: TerminalBatch[] = []
	private readonly archived: { uid: string; revision: number }[] = []
	private revision = 0
	private writes = 0
	private archivalEpoch = 0
	private hasLegacyStates = true

	/** `watchLog`: how many changes the state service keeps for watches. */
	constructor(watchLog?: number) {
		this.state = new FakeStateStore(STILL, watchLog)
	}

	/** One transaction; returns its revision. */
	write(...mutations: Mutation[]): number {
		const apply = mutations.map((mutation) =>
			'set' in mutation
				? { set: KEY_PREFIX + mutation.set, data: decode(encode(mutation.data)) }
				: { delete: KEY_PREFIX + mutation.delete },
		)
		return this.transact(apply)
	}

	private transact(apply: unknown[]): number {
		let status = 0
		this.state.handle('POST', '/txn', { if: [], apply }, (response) => {
			status = response.status
			this.revision = Number((response.body as { epoch: number }).epoch)
		})
		if (status !== 200) throw new Error(`a transaction failed with ${status}`)
		return this.revision
	}

	/** Accepts a job. */
	accept(uid: string): void {
		const record: AcceptedJobRecord = {
			shardId: SHARD,
			spec: arrayJob(uid, { tasks: TASKS }),
			acceptedAtMs: 0,
		}
		this.write({ set: `intake/${uid}`, data: encodeAcceptedBatch([record]) })
	}

	/** Removes what names a job beside its terminal state. */
	removeAcceptance(uid: string): void {
		this.write({ delete: `intake/${uid}` })
	}

	/** A job is done, under its own key as in the first record format. */
	endUnderOwnKey(uid: string): number {
		return this.write({ set: jobKey(uid), data: encodeJobRecord(terminalJobRecord(SHARD, this.done(uid))) })
	}

	/** A job is done, on the page of its shard. */
	endOnPage(uid: string): number {
		// As controllers write it: the newest batch has the revision of its page's key.
		const batch: TerminalBatch = { revision: null, jobs: [this.done(uid)] }
		this.batches.push(batch)
		batch.revision = this.writePage()
		return batch.revision
	}

	/** The state of a job moves from its own key to a page, as in the migration of the record format. */
	moveToPage(uid: string, revision: number): void {
		this.batches.push({ revision, jobs: [this.done(uid)] })
		this.writePage({ delete: jobKey(uid) })
	}

	/** All states on the page move to the archive, once an archival epoch has begun that is later than all of them. */
	archive(): void {
		this.setFormat(this.hasLegacyStates)
		for (const { revision, jobs } of this.batches)
			for (const { uid } of jobs) this.archived.push({ uid, revision: revision ?? this.revision })
		this.batches.length = 0
		const jobs = this.archived
			.map(({ uid, revision }) => ({
				ordinal: ordinalOf(uid),
				aborted: false,
				taskCount: TASKS,
				doneCount: TASKS,
				revision,
			}))
			.sort((left, right) => (left.ordinal < right.ordinal ? -1 : 1))
		const page = {
			from: '',
			to: ORDINAL_END,
			depth: 0,
			deeper: false,
			modRevision: 0,
			packed: packJobs(jobs),
		}
		this.transact([{ set: archivePageKey(1, ORDINAL_END), data: encodeArchivePage(page) }])
		this.write({ delete: terminalPageKey(SHARD) })
	}

	/** Changes the record of the format, and begins the next archival epoch. */
	setFormat(legacy: boolean): void {
		this.hasLegacyStates = legacy
		const record = { format: RECORD_FORMAT, archivalEpoch: ++this.archivalEpoch, legacy }
		this.write({ set: HISTORY_KEY, data: encodeHistoryRecord(record) })
	}

	/** So many keys that a full read takes more than one page. */
	fillFirstPage(): void {
		const fillers = Array.from({ length: KEYS_OF_FIRST_PAGE }, (_, index) => `a/${index}`)
		this.write(...fillers.map((key) => ({ set: key, data: 0 })))
	}

	/** So many changes that concern nobody. */
	makeChanges(count: number): void {
		for (let change = 0; change < count; change++) this.write({ set: 'a/other', data: this.writes++ })
	}

	private done(uid: string) {
		return toTerminalJob(uid, 'done', arrayJob(uid, { tasks: TASKS }), TASKS)
	}

	private writePage(...others: Mutation[]): number {
		const data = encodeTerminalPage({ shardId: SHARD, batches: this.batches })
		return this.write({ set: terminalPageKey(SHARD), data }, ...others)
	}
}

/** A controller that has booted and reads nothing by itself. */
export class SteppedController {
	readonly records: ServiceRecords
	readonly hub: EventHub
	/** Called before each request to the state service, with its path; what it writes is there before the answer. */
	beforeRequest: (path: string) => void = () => {}
	/** Holds the answer to a request back until this is over; null: it arrives at once. */
	delayAnswer: (path: string) => Promise<void> | null = () => null
	readonly service: Service
	private readonly storeClient: StoreClient
	private steps = 0

	/** `retained`: terminal states that it keeps for streams. */
	constructor(records: Records, retained = 1000) {
		const settings = plainSettings('c-0')
		const config = {
			settings,
			...DEFAULT_OPERATOR_SETTINGS,
			history: defaultHistorySettings,
			limits: deriveLimits(settings),
		}
		const now = () => STEP_MS * this.steps++
		const httpClient: HttpClient = {
			request: (address, method, path, body) => {
				if (address !== settings.services.state)
					return Effect.fail(new NoResponse({ reason: 'only the state service is there' }))
				return Effect.callback<HttpResponse, NoResponse>((resume) => {
					this.beforeRequest(path)
					const delay = this.delayAnswer(path)
					records.state.handle(method, path, body, ({ status, body: answer }) => {
						const response = { status, body: decode(encode(answer)), retryAfterS: null }
						const deliver = () => resume(Effect.succeed(response))
						if (delay === null) deliver()
						else void delay.then(deliver)
					})
				})
			},
		}
		this.service = new Service(config, () => {}, now, httpClient)
		this.storeClient = createStoreClient(httpClient, settings.services.state, STEP_MS, () => {})
		this.records = new ServiceRecords(this.service, retained)
		this.hub = new EventHub(this.records, INSTALLATION, 500, now)
		this.records.hub = this.hub
	}

	/** Reads all that is durable; at first, and where changes are not kept any more, all keys. */
	async read(): Promise<void> {
		if (!(await Effect.runPromise(this.service.linearizableRead()))) throw new Error('the read failed')
		this.hub.publishChanges()
	}

	/** Reads all keys, beside any other read. */
	async readAll(): Promise<void> {
		await Effect.runPromise(this.service.cache.readAll(this.storeClient))
	}

	/** Opens a stream as a Watch call does; null: it may not begin now; a text: the cursor is rejected. */
	async open(selection: Selection, cursor = ''): Promise<Stream | string | null> {
		await this.read()
		return new Promise((done) => {
			this.records.prepare(selection, (isComplete) =>
				done(isComplete ? this.subscribe(selection, cursor) : null),
			)
		})
	}

	/** The second half of `open`. */
	subscribe(selection: Selection, cursor = ''): Stream | string {
		const ends: StreamEndReason[] = []
		const subscription = this.hub.subscribe(selection, cursor, {
			onEventsAvailable: () => {},
			onEnd: (reason) => ends.push(reason),
		})
		return typeof subscription === 'string' ? subscription : new Stream(subscription, ends)
	}
}

/** A reader's stream, and what it told. */
export class Stream {
	/** ids of the jobs whose terminal state was told */
	readonly terminalJobs: string[] = []
	/** where a reader resumes that trusts cursors: that of the latest event, before the first one that of the headers */
	cursor: string

	constructor(
		readonly subscription: Subscription,
		/** at most one: why the stream ended before it told everything */
		readonly ends: readonly StreamEndReason[],
	) {
		this.cursor = subscription.cursor()
	}

	/** Takes what is there, at most so many events. */
	take(atMost?: number): this {
		for (const { uid, state, cursor } of takeEvents(this.subscription, atMost)) {
			this.cursor = cursor
			if (state === 'done' || state === 'cancelled') this.terminalJobs.push(uid)
		}
		return this
	}
}

/**
 * Controllers of the real service that read the state service only when a test says so, and the records that other
 * processes write meanwhile. For tests that force an interleaving of reads, changes and streams.
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
/** Id of the installation, which signs cursors. */
export const INSTALLATION_ID = 'here'
/** How far each reading of a controller's clock advances it, so that no read is delayed. */
const CLOCK_STEP_MS = 1000
/** More keys than fit on one page of a full read; they sort before the jobs' keys. */
const FILLER_KEYS = 1000

/** A stopped clock: nothing happens at the state service except what a test writes. */
const STOPPED_CLOCK: Clock = {
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

	/** `retainedChanges`: number of changes that the state service retains for watches. */
	constructor(retainedChanges?: number) {
		this.state = new FakeStateStore(STOPPED_CLOCK, retainedChanges)
	}

	/** Commits one transaction; returns its revision. */
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
		if (status !== 200) throw new Error(`the transaction failed with status ${status}`)
		return this.revision
	}

	/** Writes the accepted batch of a job. */
	accept(uid: string): void {
		const record: AcceptedJobRecord = {
			shardId: SHARD,
			spec: arrayJob(uid, { tasks: TASKS }),
			acceptedAtMs: 0,
		}
		this.write({ set: `intake/${uid}`, data: encodeAcceptedBatch([record]) })
	}

	/** Removes the accepted batch of a job; only its terminal state is left. */
	removeAcceptance(uid: string): void {
		this.write({ delete: `intake/${uid}` })
	}

	/** Writes a job as done under its own key, as in the first record format; returns the revision. */
	finishUnderOwnKey(uid: string): number {
		return this.write({ set: jobKey(uid), data: encodeJobRecord(terminalJobRecord(SHARD, this.done(uid))) })
	}

	/** Writes a job as done to the terminal-state page of its shard; returns the revision. */
	finishOnPage(uid: string): number {
		// As controllers write it: the revision of the newest batch is the mod revision of its page.
		const batch: TerminalBatch = { revision: null, jobs: [this.done(uid)] }
		this.batches.push(batch)
		batch.revision = this.writePage()
		return batch.revision
	}

	/** Moves the state of a job from its own key to the page, as the migration of the record format does. */
	moveToPage(uid: string, revision: number): void {
		this.batches.push({ revision, jobs: [this.done(uid)] })
		this.writePage({ delete: jobKey(uid) })
	}

	/** Starts an archival epoch later than all states on the page, then moves them to the archive. */
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

	/** Writes the record of the format with the next archival epoch. */
	setFormat(legacy: boolean): void {
		this.hasLegacyStates = legacy
		const record = { format: RECORD_FORMAT, archivalEpoch: ++this.archivalEpoch, legacy }
		this.write({ set: HISTORY_KEY, data: encodeHistoryRecord(record) })
	}

	/** Writes enough keys that a full read takes more than one page. */
	fillFirstPage(): void {
		const fillers = Array.from({ length: FILLER_KEYS }, (_, index) => `a/${index}`)
		this.write(...fillers.map((key) => ({ set: key, data: 0 })))
	}

	/** Writes a key that no job uses, `count` times. */
	makeUnrelatedChanges(count: number): void {
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

/** A booted controller that reads the state service only on request. */
export class SteppedController {
	readonly records: ServiceRecords
	readonly hub: EventHub
	/** Called with the path before each request to the state service; the response reflects what it writes. */
	beforeRequest: (path: string) => void = () => {}
	/** Delays the response to a request until the promise resolves; null: no delay. */
	delayResponse: (path: string) => Promise<void> | null = () => null
	readonly service: Service
	private readonly storeClient: StoreClient
	private steps = 0

	/** `retainedStates`: number of terminal states that it retains for streams. */
	constructor(records: Records, retainedStates = 1000) {
		const settings = plainSettings('c-0')
		const config = {
			settings,
			...DEFAULT_OPERATOR_SETTINGS,
			history: defaultHistorySettings,
			limits: deriveLimits(settings),
		}
		const now = () => CLOCK_STEP_MS * this.steps++
		const httpClient: HttpClient = {
			request: (address, method, path, body) => {
				if (address !== settings.services.state)
					return Effect.fail(new NoResponse({ reason: 'this controller can reach only the state service' }))
				return Effect.callback<HttpResponse, NoResponse>((resume) => {
					this.beforeRequest(path)
					const delay = this.delayResponse(path)
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
		this.storeClient = createStoreClient(httpClient, settings.services.state, CLOCK_STEP_MS, () => {})
		this.records = new ServiceRecords(this.service, retainedStates)
		this.hub = new EventHub(this.records, INSTALLATION_ID, 500, now)
		this.records.hub = this.hub
	}

	/** Does a linearizable read: of the changes, or of all keys if it is the first or changes are no longer retained. */
	async read(): Promise<void> {
		if (!(await Effect.runPromise(this.service.linearizableRead())))
			throw new Error('the linearizable read failed')
		this.hub.publishChanges()
	}

	/** Reads all keys, concurrently with any other read. */
	async readAllKeys(): Promise<void> {
		await Effect.runPromise(this.service.cache.readAll(this.storeClient))
	}

	/** Opens a stream as a Watch call does; null: not possible now; a string: why the cursor was rejected. */
	async open(selection: Selection, cursor = ''): Promise<Stream | string | null> {
		await this.read()
		return new Promise((done) => {
			this.records.prepare(selection, (isComplete) =>
				done(isComplete ? this.subscribe(selection, cursor) : null),
			)
		})
	}

	/** The last step of `open`: subscribes without a read. */
	subscribe(selection: Selection, cursor = ''): Stream | string {
		const endReasons: StreamEndReason[] = []
		const subscription = this.hub.subscribe(selection, cursor, {
			onEventsAvailable: () => {},
			onEnd: (reason) => endReasons.push(reason),
		})
		return typeof subscription === 'string' ? subscription : new Stream(subscription, endReasons)
	}
}

/** A reader's stream and the terminal states that it delivered. */
export class Stream {
	/** ids of the jobs whose terminal state was delivered, in order */
	readonly terminalJobs: string[] = []
	/** where a reader that trusts cursors resumes: the cursor of the latest event, or of the headers if there was none */
	cursor: string

	constructor(
		readonly subscription: Subscription,
		/** why the stream ended before it delivered everything; at most one entry */
		readonly endReasons: readonly StreamEndReason[],
	) {
		this.cursor = subscription.cursor()
	}

	/** Reads the available events, up to `maxEvents`. */
	take(maxEvents?: number): this {
		for (const { uid, state, cursor } of takeEvents(this.subscription, maxEvents)) {
			this.cursor = cursor
			if (state === 'done' || state === 'cancelled') this.terminalJobs.push(uid)
		}
		return this
	}
}

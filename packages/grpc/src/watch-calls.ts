/** Watch calls: their admission, the subscriptions that they read from, and readers that stall. */
import { randomBytes } from 'node:crypto'
import { status } from '@grpc/grpc-js'
import type { GrpcSettings } from '@heathroad/config'
import {
	EventHub,
	type Selection,
	SendScheduler,
	StreamAdmission,
	type SubscribeError,
} from '@heathroad/events'
import type { Service } from '@heathroad/server'
import { JOB_ID_FORMAT, JOB_ID_PATTERN } from '@heathroad/wire'
import type { ServiceRecords } from './service-records.js'
import { type Failure, failure, refusalFailure } from './status.js'
import { type WatchCall, WatchStream } from './watch-stream.js'

/** Events that all streams together send before the event loop runs anything else. */
const EVENTS_PER_TURN = 128
/** Random bytes of the installation's id. */
const INSTALLATION_ID_BYTES = 12
/** Retry delay while this controller cannot answer users, in ms. */
const NOT_READY_RETRY_MS = 1000

const CURSOR_FAILURES: Readonly<Record<SubscribeError, () => Failure>> = {
	'invalid cursor': () =>
		failure(status.INVALID_ARGUMENT, 'cursor: not one of this installation and selection'),
	'out of range': () => failure(status.OUT_OF_RANGE, 'cursor: what follows it is not kept any more'),
}

/** What the calls need of their server. */
export interface WatchCallsContext {
	/** whether the server shuts down, so that it takes no more calls */
	isDraining: () => boolean
	/** closes the connection of a peer, by its IP:PORT */
	disconnect: (peer: string) => void
}

/** The selection of a request, or what is wrong with it. */
const readSelection = (uids: readonly string[], team: string): Selection | Failure => {
	const invalid = (text: string) => failure(status.INVALID_ARGUMENT, text)
	if ((uids.length === 0) === (team === '')) return invalid('uids, team: Expected one of the two')
	if (team !== '') return { team }
	if (!uids.every((uid) => JOB_ID_PATTERN.test(uid)))
		return invalid(`uids: Expected ${JOB_ID_FORMAT} in each`)
	return { uids: [...new Set(uids)] }
}

const selectionFields = (selection: Selection): object =>
	'team' in selection ? { team: selection.team } : { uids: selection.uids.length }

/** Runs all Watch calls of one controller. */
export class WatchCalls {
	private readonly admission: StreamAdmission
	private readonly scheduler = new SendScheduler(EVENTS_PER_TURN, setImmediate)
	private readonly streams = new Set<WatchStream>()
	/** stalled readers whose stream was ended, with the time after which their connection is closed, steady ms */
	private readonly disconnectAt = new Map<WatchStream, number>()
	/** null until the installation's id is known, which signs the cursors */
	private hub: EventHub | null = null
	/** start of the uninterrupted run of this process that was seen last, steady ms */
	private runningSince: number

	constructor(
		private readonly service: Service,
		private readonly records: ServiceRecords,
		private readonly settings: GrpcSettings,
		private readonly context: WatchCallsContext,
	) {
		const teamCount = Math.max(1, service.config.settings.deployment.teams.length)
		this.admission = new StreamAdmission(
			{
				streams: settings.maxStreams,
				streamsPerTeam: Math.ceil(settings.maxStreams / teamCount),
				jobIdsPerStream: settings.maxIdsPerStream,
				jobIds: settings.maxWatchedIds,
				opensPerSecond: settings.maxOpensPerS,
			},
			service.now,
		)
		this.runningSince = service.membership.runningSince
	}

	/** Number of open streams. */
	get openCount(): number {
		return this.admission.openCount
	}

	/** Whether streams can be served: the installation's id is known, and this controller may answer users. */
	isReady(): boolean {
		return this.hub !== null && !this.context.isDraining() && this.service.isHealthy()
	}

	/** Handler of the call. */
	readonly watch = (call: WatchCall): void => {
		const refuse = (callFailure: Failure) => void call.emit('error', callFailure)
		const { uids, team, cursor } = call.request
		const selection = readSelection(uids, team)
		if ('code' in selection) {
			refuse(selection)
			return
		}
		if (!this.isReady()) {
			refuse(failure(status.UNAVAILABLE, 'this controller cannot tell now', NOT_READY_RETRY_MS))
			return
		}
		const jobIdCount = 'team' in selection ? 0 : selection.uids.length
		const accountedTeam = this.accountedTeam(selection)
		const refusal = this.admission.admit(accountedTeam, jobIdCount)
		if (refusal !== null) {
			refuse(refusalFailure(refusal))
			return
		}
		const stream = new WatchStream(call, {
			scheduler: this.scheduler,
			now: this.service.now,
			onEnd: ({ isComplete, cursor: endCursor }) => {
				this.logStream('stream ended', stream, { isComplete, cursor: endCursor })
				this.streams.delete(stream)
				this.admission.release(accountedTeam, jobIdCount)
			},
		})
		this.streams.add(stream)
		// Nothing older may be delivered than was delivered before the call, and nothing from before its cursor.
		this.service.afterLinearizableRead((isFresh) => {
			if (!isFresh) return this.failUnreadable(stream)
			this.records.prepare(selection, (isComplete) => {
				if (isComplete) this.subscribe(stream, selection, cursor)
				else this.failUnreadable(stream)
			})
		})
	}

	/** Creates the hub once the installation's id is known; names the installation if it has none. */
	openHub(): void {
		if (this.hub !== null) return
		const installation = this.records.installationId()
		if (installation === null) {
			this.records.proposeInstallationId(randomBytes(INSTALLATION_ID_BYTES).toString('base64url'))
			return
		}
		const publishIntervalMs = this.settings.minUpdateIntervalS * 1000
		this.hub = new EventHub(this.records, installation, publishIntervalMs, this.service.now)
		this.records.hub = this.hub
	}

	/** Publishes changes and ends streams that can't go on; to be called once per publish interval. */
	publish(): void {
		const { runningSince } = this.service.membership
		const wasSuspended = runningSince !== this.runningSince
		this.runningSince = runningSince
		// After a suspension of the process the records here may be long outdated, and other controllers know better.
		if (!this.isReady() || wasSuspended) this.endAll()
		this.hub?.publishChanges()
		const now = this.service.now()
		this.endStalledStreams(now)
		this.disconnectUnresponsiveReaders(now)
	}

	/** Ends all streams; their readers resume at other controllers. */
	endAll(): void {
		this.hub?.endAll('not serving')
	}

	private endStalledStreams(now: number): void {
		const stallMs = this.settings.stallTimeoutS * 1000
		for (const stream of this.streams) {
			if (!stream.isStalled({ stallMs, maxBacklog: this.settings.maxLag })) continue
			this.disconnectAt.set(stream, now + stallMs)
			stream.endSubscription('too slow')
			this.service.log('info', 'slow stream closed', { peer: stream.peer })
		}
	}

	/**
	 * A stream's status is queued behind the events that its reader does not take. If it never takes them, only closing
	 * the connection frees their memory. Other streams on the connection resume at their cursors.
	 */
	private disconnectUnresponsiveReaders(now: number): void {
		for (const [stream, deadline] of this.disconnectAt) {
			const isOverdue = now > deadline
			if (stream.isClosed || isOverdue) this.disconnectAt.delete(stream)
			if (!stream.isClosed && isOverdue) this.context.disconnect(stream.peer)
		}
	}

	/** The team whose share of the streams a stream takes: of several jobs, the team of the first known one. */
	private accountedTeam(selection: Selection): string {
		if ('team' in selection) return selection.team
		for (const uid of selection.uids) {
			const record = this.service.jobs.get(uid)?.record
			if (record !== undefined) return record.spec?.team ?? record.resources?.team ?? ''
		}
		return ''
	}

	private failUnreadable(stream: WatchStream): void {
		stream.fail(failure(status.UNAVAILABLE, 'the state cannot be read now', NOT_READY_RETRY_MS))
	}

	private subscribe(stream: WatchStream, selection: Selection, cursor: string): void {
		if (this.hub === null || !this.isReady()) {
			this.failUnreadable(stream)
			return
		}
		const subscription = this.hub.subscribe(selection, cursor, {
			onEventsAvailable: () => stream.enqueue(),
			onEnd: (reason) => stream.subscriptionEnded(reason),
		})
		if (typeof subscription === 'string') {
			this.rejectCursor(stream, subscription, cursor)
			return
		}
		this.logStream('stream began', stream, { ...selectionFields(selection), cursor })
		stream.start(subscription)
	}

	/** Logs what happens to one stream of a watch, which may have others at other controllers. */
	private logStream(event: 'stream began' | 'stream ended', stream: WatchStream, fields: object): void {
		const { watchId, peer } = stream
		this.service.log('debug', event, { watchId, peer, revision: this.records.revision(), ...fields })
	}

	private rejectCursor(stream: WatchStream, why: SubscribeError, cursor: string): void {
		const revision = this.records.revision()
		this.service.log('info', 'stream cursor rejected', {
			why,
			watchId: stream.watchId,
			peer: stream.peer,
			cursor,
			revision,
		})
		stream.fail(CURSOR_FAILURES[why]())
	}
}

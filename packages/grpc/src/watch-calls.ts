/** Watch calls: admission, subscription to job events, and handling of stalled readers. */
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

/** Number of events that all streams together send before yielding to the event loop. */
const EVENTS_PER_TURN = 128
/** Number of random bytes in the installation's id. */
const INSTALLATION_ID_BYTES = 12
/** Retry delay while this controller cannot answer users, in ms. */
const NOT_READY_RETRY_MS = 1000

const CURSOR_FAILURES: Readonly<Record<SubscribeError, () => Failure>> = {
	'invalid cursor': () =>
		failure(status.INVALID_ARGUMENT, 'cursor: not one of this installation and selection'),
	'out of range': () => failure(status.OUT_OF_RANGE, 'cursor: what follows it is not kept any more'),
}

/** Functions of the gRPC server that the calls use. */
export interface WatchCallsContext {
	/** whether the server is shutting down and rejects new calls */
	isDraining: () => boolean
	/** closes the connection of a peer, by its IP:PORT */
	disconnect: (peer: string) => void
}

/** The selection of a request, or the failure if it is invalid. */
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

/** Handles all Watch calls of one controller. */
export class WatchCalls {
	private readonly admission: StreamAdmission
	private readonly scheduler = new SendScheduler(EVENTS_PER_TURN, setImmediate)
	private readonly streams = new Set<WatchStream>()
	/** stalled readers whose stream was ended, with the monotonic time in ms at which their connection is closed */
	private readonly disconnectAt = new Map<WatchStream, number>()
	/** null until the installation's id is known, because it signs the cursors */
	private hub: EventHub | null = null
	/** monotonic time in ms since which this process has run without a suspension, as of the latest publish */
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

	/** Handler of Watch calls. */
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
		const chargedTeam = this.chargedTeam(selection)
		const refusal = this.admission.admit(chargedTeam, jobIdCount)
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
				this.admission.release(chargedTeam, jobIdCount)
			},
		})
		this.streams.add(stream)
		// Ensures that the stream delivers no state older than one delivered before the call or before its cursor.
		this.service.afterLinearizableRead((isFresh) => {
			if (!isFresh) return this.failStateUnavailable(stream)
			this.records.prepare(selection, (isComplete) => {
				if (isComplete) this.subscribe(stream, selection, cursor)
				else this.failStateUnavailable(stream)
			})
		})
	}

	/** Creates the hub once the installation's id is known; proposes an id if there is none. */
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

	/** Publishes changes and ends streams that cannot continue; must be called once per publish interval. */
	publish(): void {
		const { runningSince } = this.service.membership
		const wasSuspended = runningSince !== this.runningSince
		this.runningSince = runningSince
		// After a suspension of the process its records may be long outdated; other controllers have newer ones.
		if (!this.isReady() || wasSuspended) this.endAll()
		this.hub?.publishChanges()
		const now = this.service.now()
		this.endStalledStreams(now)
		this.disconnectUnresponsiveReaders(now)
	}

	/** Ends all streams; readers resume at other controllers. */
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
	 * A stream's status is queued behind the events that its reader has not read. If the reader never reads them, only
	 * closing the connection frees their memory. Other streams on the connection resume at their cursors.
	 */
	private disconnectUnresponsiveReaders(now: number): void {
		for (const [stream, deadline] of this.disconnectAt) {
			const isOverdue = now > deadline
			if (stream.isClosed || isOverdue) this.disconnectAt.delete(stream)
			if (!stream.isClosed && isOverdue) this.context.disconnect(stream.peer)
		}
	}

	/** The team against whose limit a stream counts; for named jobs, the team of the first known one. */
	private chargedTeam(selection: Selection): string {
		if ('team' in selection) return selection.team
		for (const uid of selection.uids) {
			const record = this.service.jobs.get(uid)?.record
			if (record !== undefined) return record.spec?.team ?? record.resources?.team ?? ''
		}
		return ''
	}

	private failStateUnavailable(stream: WatchStream): void {
		stream.fail(failure(status.UNAVAILABLE, 'the state cannot be read now', NOT_READY_RETRY_MS))
	}

	private subscribe(stream: WatchStream, selection: Selection, cursor: string): void {
		if (this.hub === null || !this.isReady()) {
			this.failStateUnavailable(stream)
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

	/** Logs the start or end of a stream; a watch may have other streams at other controllers. */
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

/** Watches jobs over streams, or by polling if the protocol has no streams. */
import { randomUUID } from 'node:crypto'
import { DeadlineOver, NeedsGrpc, UnknownJob } from './errors.js'
import { callSignal, delay, type InterruptibleCall, throwIfInterrupted } from './interruption.js'
import { retryDelayMs } from './retry.js'
import { type RetryingCaller, rejectionError } from './retrying-caller.js'
import {
	isFinal,
	type JobEvent,
	type JobInfo,
	type RetryableFailure,
	type Selection,
	type StreamEnd,
	type Transport,
	type WatchRequest,
} from './transport.js'
import type { TransportPool } from './transport-pool.js'

/** Options of a watch. */
export interface WatchOptions {
	signal?: AbortSignal
	/** cursor of the event after which the watch resumes */
	cursor?: string
}

/** A fault that the client recovers from by itself. */
export interface WatchWarning {
	/** a server ended a watch as complete before the terminal events of all named jobs were delivered */
	kind: 'complete too early'
	/** id of the watch in the logs of controllers */
	watchId: string
	/** address of the server */
	address: string
	/** the jobs whose terminal event is outstanding */
	uids: readonly string[]
}

/** A poll interval is multiplied by a random factor from `min` to `min + range`, so that clients do not poll together. */
const POLL_JITTER = { min: 0.75, range: 0.5 } as const

/** Progress of one watch over all of its streams. */
interface WatchProgress {
	/** id of the watch in the logs of controllers */
	readonly watchId: string
	/** the latest cursor that is valid for the whole selection; empty: none was received yet */
	cursor: string
	/**
	 * Whether streams resume at the cursor: those of team watches, and of watches that the caller started at a cursor
	 * (only the caller knows what was delivered before it). All other streams start with the current state, and terminal
	 * states delivered before are dropped here: a cursor claims that every earlier state was delivered, so a state that one
	 * server lacks would be lost.
	 */
	resumesAtCursor: boolean
	/**
	 * Whether streams request only the jobs whose terminal event is outstanding. Set once a stream broke after repeated
	 * events only: if all streams break early, the jobs named last would otherwise never be reached. The cursors of such
	 * streams are not valid for the whole selection, so their events carry the latest cursor that is.
	 */
	requestsOutstandingOnly: boolean
	/** whether a stream had to restart with the current state */
	hasGap: boolean
	/** number of streams that a server started */
	startedStreams: number
	/** number of consecutive streams whose cursor was rejected, without an event in between */
	rejectedCursors: number
	/** number of consecutive streams that a server completed too early */
	earlyCompletions: number
	/** named jobs whose terminal state was delivered */
	readonly terminalJobs: Set<string>
}

const createProgress = (selection: Selection, cursor: string): WatchProgress => ({
	watchId: randomUUID(),
	cursor,
	resumesAtCursor: 'team' in selection || cursor !== '',
	requestsOutstandingOnly: false,
	hasGap: false,
	startedStreams: 0,
	rejectedCursors: 0,
	earlyCompletions: 0,
	terminalJobs: new Set(),
})

/** The failure for backing off after consecutive rejected cursors. */
const REJECTED_CURSOR: RetryableFailure = {
	kind: 'retryable',
	text: 'the cursor was rejected',
	retryAfterMs: null,
	mayBeAccepted: true,
	isUnreachable: false,
}

/** The failure for a stream that a server completed too early. */
const COMPLETE_TOO_EARLY: RetryableFailure = {
	kind: 'retryable',
	text: 'the server lacks terminal states',
	retryAfterMs: null,
	mayBeAccepted: true,
	isUnreachable: false,
}

/** The named jobs whose terminal event was not delivered; null: only the caller or the server knows them. */
const outstandingJobs = (selection: Selection, progress: WatchProgress): readonly string[] | null =>
	'team' in selection || progress.resumesAtCursor
		? null
		: selection.uids.filter((uid) => !progress.terminalJobs.has(uid))

/** The request that opens the next stream of a watch. */
const streamRequest = (selection: Selection, progress: WatchProgress): WatchRequest => ({
	selection: progress.requestsOutstandingOnly
		? { uids: outstandingJobs(selection, progress) ?? [] }
		: selection,
	cursor: progress.resumesAtCursor ? progress.cursor : '',
	watchId: progress.watchId,
})

/** The job id in the errors of a watch; empty for a team. */
const firstJobId = (selection: Selection): string => ('team' in selection ? '' : (selection.uids[0] ?? ''))

/** Runs watches; each consists of one stream after the other until it is complete. */
export class JobWatcher {
	/** `pollMs`: interval at which a job is polled; `onWarning`: called for each warning. */
	constructor(
		private readonly transports: TransportPool,
		private readonly caller: RetryingCaller,
		private readonly pollMs: number,
		private readonly random: () => number,
		private readonly onWarning: (warning: WatchWarning) => void = () => {},
	) {}

	/** See `Client.watch`. */
	async *watch(selection: Selection, options: WatchOptions): AsyncGenerator<JobEvent, void> {
		const uid = firstJobId(selection)
		const call = { uid, signal: callSignal(options.signal), mayBeAccepted: true }
		if ('uids' in selection && selection.uids.length === 0) return
		const progress = createProgress(selection, options.cursor ?? '')
		let failedGrpcTries = 0
		for (let tries = 1; ; tries++) {
			throwIfInterrupted(call)
			const { transport, candidateCount } = await this.transports.choose(failedGrpcTries)
			const { cursor: cursorBefore, startedStreams: startedBefore } = progress
			const streamEnd = yield* this.watchAt(transport, selection, progress, call)
			const end = this.verifyEnd(streamEnd, transport, selection, progress)
			if (end.kind === 'complete') return
			throwIfInterrupted(call)
			if (end.kind === 'rejected') throw rejectionError(end, uid, false)
			if (end.kind === 'restart') {
				await this.restart(selection, progress, candidateCount, call)
				continue
			}
			failedGrpcTries = end.lacksGrpc ? failedGrpcTries + 1 : 0
			// A stream that started counts as a success, even without an event: the backoff is reset.
			if (progress.cursor !== cursorBefore || progress.startedStreams > startedBefore) tries = 1
			this.transports.advance()
			await this.backOff(Math.max(tries, progress.earlyCompletions), end, candidateCount, call)
		}
	}

	/**
	 * Corrects the reported end of a stream: a complete stream counts as failed while terminal events are outstanding, and
	 * a failed one as complete if none are.
	 */
	private verifyEnd(
		end: StreamEnd,
		{ address }: Transport,
		selection: Selection,
		progress: WatchProgress,
	): StreamEnd {
		const uids = outstandingJobs(selection, progress)
		if (uids?.length === 0) return { kind: 'complete' }
		if (uids === null || end.kind !== 'complete') {
			progress.earlyCompletions = 0
			return end
		}
		progress.earlyCompletions++
		this.onWarning({ kind: 'complete too early', watchId: progress.watchId, address, uids })
		return COMPLETE_TOO_EARLY
	}

	private backOff(
		tries: number,
		failure: RetryableFailure,
		addressCount: number,
		call: InterruptibleCall,
	): Promise<void> {
		return delay(retryDelayMs({ tries, failure, addressCount, random: this.random }), call)
	}

	/**
	 * Handles a rejected cursor: the next stream starts with the current state. A single rejection is normal after a long
	 * absence, so the next stream starts immediately; consecutive rejections are retried with increasing delays.
	 */
	private async restart(
		selection: Selection,
		progress: WatchProgress,
		addressCount: number,
		call: InterruptibleCall,
	): Promise<void> {
		progress.cursor = ''
		progress.resumesAtCursor = 'team' in selection
		progress.hasGap = true
		const tries = progress.rejectedCursors++
		if (tries === 0) return
		await this.backOff(tries, REJECTED_CURSOR, addressCount, call)
	}

	private watchAt(
		transport: Transport,
		selection: Selection,
		progress: WatchProgress,
		call: InterruptibleCall,
	): AsyncGenerator<JobEvent, StreamEnd> {
		if (transport.watch === undefined) return this.poll(selection, progress, call)
		// A stream that breaks before its first event resumes where it started.
		const onStart = (cursor: string) => {
			progress.startedStreams++
			if (progress.cursor === '' && !progress.requestsOutstandingOnly) progress.cursor = cursor
		}
		const request = streamRequest(selection, progress)
		const events = transport.watch(request, call.signal, onStart)
		return this.stream(events, selection, progress)
	}

	private async *stream(
		events: AsyncGenerator<JobEvent, StreamEnd>,
		selection: Selection,
		progress: WatchProgress,
	): AsyncGenerator<JobEvent, StreamEnd> {
		let repeated = 0
		let delivered = 0
		try {
			for (;;) {
				const step = await events.next()
				if (step.done) {
					progress.requestsOutstandingOnly ||= repeated > 0 && delivered === 0 && !progress.resumesAtCursor
					return step.value
				}
				const event = step.value
				if (!progress.requestsOutstandingOnly) progress.cursor = event.cursor
				progress.rejectedCursors = 0
				// The current state includes terminal states that were delivered before.
				if ('uids' in selection && progress.terminalJobs.has(event.uid)) {
					repeated++
					continue
				}
				delivered++
				if ('uids' in selection && isFinal(event.state)) progress.terminalJobs.add(event.uid)
				yield { ...event, cursor: progress.cursor, afterGap: progress.hasGap }
			}
		} finally {
			await events.return({ kind: 'complete' })
		}
	}

	/** Polls the named jobs until all of them are terminal. */
	private async *poll(
		selection: Selection,
		progress: WatchProgress,
		call: InterruptibleCall,
	): AsyncGenerator<JobEvent, StreamEnd> {
		if ('team' in selection) throw new NeedsGrpc('a team can be watched over gRPC only', '', false)
		const lastStates = new Map<string, string>()
		for (;;) {
			yield* this.pollOnce(selection.uids, { terminalJobs: progress.terminalJobs, lastStates }, call.signal)
			if (selection.uids.every((uid) => progress.terminalJobs.has(uid))) return { kind: 'complete' }
			const jitter = POLL_JITTER.min + this.random() * POLL_JITTER.range
			await delay(this.pollMs * jitter, call)
		}
	}

	/** Queries each job that is not terminal, and yields its state if it differs from the previous one. */
	private async *pollOnce(
		uids: readonly string[],
		{ terminalJobs, lastStates }: { terminalJobs: Set<string>; lastStates: Map<string, string> },
		signal: AbortSignal,
	): AsyncGenerator<JobEvent, void> {
		for (const uid of uids) {
			if (terminalJobs.has(uid)) continue
			const job = await this.query(uid, signal)
			if (job === null) continue
			const state = `${job.state} ${job.done} ${job.running}`
			if (lastStates.get(uid) === state) continue
			lastStates.set(uid, state)
			if (isFinal(job.state)) terminalJobs.add(uid)
			yield { ...job, tasks: 0, cursor: '', afterGap: false }
		}
	}

	/** Returns a job's state; null: the job was not submitted yet or no address answered, so it is queried again later. */
	private async query(uid: string, signal: AbortSignal): Promise<JobInfo | null> {
		try {
			return await this.caller.call(uid, { signal }, (transport, timeoutMs, trySignal) =>
				transport.get(uid, timeoutMs, trySignal),
			)
		} catch (error) {
			if (error instanceof UnknownJob || error instanceof DeadlineOver) return null
			throw error
		}
	}
}

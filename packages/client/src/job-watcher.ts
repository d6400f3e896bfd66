/** Watches jobs over streams, or by polling where there are none. */
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

/** Something is wrong that the client mends by itself. */
export interface WatchWarning {
	/** a server ended a watch as complete, though the terminal event of some named jobs was not delivered */
	kind: 'complete too early'
	/** names the watch in the logs of controllers */
	watchId: string
	/** of the server */
	address: string
	/** the jobs whose terminal event is outstanding */
	uids: readonly string[]
}

/** Polls are this share of the interval apart, at least and at most, so that clients do not poll together. */
const POLL_JITTER = { min: 0.75, range: 0.5 } as const

/** Progress of one watch over all of its streams. */
interface WatchProgress {
	/** names the watch in the logs of controllers */
	readonly watchId: string
	/** the latest cursor for the whole selection; empty: there was none yet */
	cursor: string
	/**
	 * Whether streams resume at the cursor: those of a team, and those of a watch that began at a cursor of the caller, who
	 * alone knows what was delivered before. All others begin with the present state, and what was delivered already is
	 * dropped here: a cursor says that every state before it was delivered, and what one server lacks would be lost.
	 */
	resumesAtCursor: boolean
	/**
	 * Whether streams ask only for the jobs whose terminal event is outstanding, after one broke before it had delivered
	 * anything new: streams that all break early would otherwise never come to the jobs named last. Cursors of such streams are
	 * not valid for the whole selection, so their events have the latest one that is.
	 */
	asksForOutstanding: boolean
	/** a stream had to begin anew */
	hasGap: boolean
	/** streams that a server began */
	begunStreams: number
	/** streams in a row that were rejected at their cursor, without an event in between */
	rejectedCursors: number
	/** streams in a row that were called complete too early */
	earlyEnds: number
	/** named jobs whose terminal state was delivered */
	readonly terminalJobs: Set<string>
}

const createProgress = (selection: Selection, cursor: string): WatchProgress => ({
	watchId: randomUUID(),
	cursor,
	resumesAtCursor: 'team' in selection || cursor !== '',
	asksForOutstanding: false,
	hasGap: false,
	begunStreams: 0,
	rejectedCursors: 0,
	earlyEnds: 0,
	terminalJobs: new Set(),
})

/** What a rejected cursor counts as, if it is not the first in a row. */
const REJECTED_CURSOR: RetryableFailure = {
	kind: 'retryable',
	text: 'the cursor was rejected',
	retryAfterMs: null,
	mayBeAccepted: true,
	isUnreachable: false,
}

/** What a stream counts as that was called complete too early. */
const COMPLETE_TOO_EARLY: RetryableFailure = {
	kind: 'retryable',
	text: 'the server lacks terminal states',
	retryAfterMs: null,
	mayBeAccepted: true,
	isUnreachable: false,
}

/** The named jobs whose terminal event was not delivered; null: only the caller or the server knows. */
const outstandingJobs = (selection: Selection, progress: WatchProgress): readonly string[] | null =>
	'team' in selection || progress.resumesAtCursor
		? null
		: selection.uids.filter((uid) => !progress.terminalJobs.has(uid))

/** What the next stream asks for. */
const streamRequest = (selection: Selection, progress: WatchProgress): WatchRequest => ({
	selection: progress.asksForOutstanding ? { uids: outstandingJobs(selection, progress) ?? [] } : selection,
	cursor: progress.resumesAtCursor ? progress.cursor : '',
	watchId: progress.watchId,
})

/** The job that errors of a watch name; empty for a team. */
const firstJobId = (selection: Selection): string => ('team' in selection ? '' : (selection.uids[0] ?? ''))

/** Watches jobs. */
export class JobWatcher {
	/** `pollMs`: between two polls of the same job; `onWarning`: called for each warning. */
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
			const { cursor: cursorBefore, begunStreams: begunBefore } = progress
			const streamEnd = yield* this.watchAt(transport, selection, progress, call)
			const end = this.checkedEnd(streamEnd, transport, selection, progress)
			if (end.kind === 'complete') return
			throwIfInterrupted(call)
			if (end.kind === 'rejected') throw rejectionError(end, uid, false)
			if (end.kind === 'restart') {
				await this.beginAnew(selection, progress, candidateCount, call)
				continue
			}
			failedGrpcTries = end.lacksGrpc ? failedGrpcTries + 1 : 0
			// A stream that began was a good one, also without an event: the delays begin anew.
			if (progress.cursor !== cursorBefore || progress.begunStreams > begunBefore) tries = 1
			this.transports.advance()
			await this.backOff(Math.max(tries, progress.earlyEnds), end, candidateCount, call)
		}
	}

	/**
	 * A stream that was called complete while terminal events are outstanding counts as a failed one, and a failed one as
	 * complete if none is.
	 */
	private checkedEnd(
		end: StreamEnd,
		{ address }: Transport,
		selection: Selection,
		progress: WatchProgress,
	): StreamEnd {
		const uids = outstandingJobs(selection, progress)
		if (uids?.length === 0) return { kind: 'complete' }
		if (uids === null || end.kind !== 'complete') {
			progress.earlyEnds = 0
			return end
		}
		progress.earlyEnds++
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
	 * The cursor was rejected: the next stream begins with the present state. Once is ordinary after a long absence, so it
	 * begins at once; a server that goes on rejecting is asked less and less often.
	 */
	private async beginAnew(
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
		// A stream that breaks before its first event is resumed where it began.
		const onStart = (cursor: string) => {
			progress.begunStreams++
			if (progress.cursor === '' && !progress.asksForOutstanding) progress.cursor = cursor
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
					progress.asksForOutstanding ||= repeated > 0 && delivered === 0 && !progress.resumesAtCursor
					return step.value
				}
				const event = step.value
				if (!progress.asksForOutstanding) progress.cursor = event.cursor
				progress.rejectedCursors = 0
				// The present state includes terminal states that were delivered before.
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

	/** Queries each job again and again. */
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

	/** Queries each job that is not terminal, and delivers its state if that differs from the last one. */
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

	/** A job's state; null: it was not submitted yet, or no address answered, so it is queried again later. */
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

/**
 * Fakes of the previous version's client and servers (575715b) for streams by ids. In that version both sides took a
 * cursor as proof that every terminal state before it had been delivered.
 */
import { type ClientReadableStream, Metadata, type ServiceError, status } from '@grpc/grpc-js'
import { CursorCodec, type StreamPosition } from '@heathroad/events'
import type { EventMessage, JobsClient, WatchMessage } from '@heathroad/proto'
import type { ScriptedStream } from './scripted-grpc-server.js'
import { INSTALLATION_ID } from './stepped-controller.js'

/** Sorts after every job id. */
const AFTER_ALL_IDS = '~'

/** When a reader cancels its stream. */
export interface ReadOptions {
	/** number of events after which the reader cancels, evaluated after each event; 0: once the headers arrive */
	cancelAfter?: () => number
	/** cancels the stream when aborted */
	signal?: AbortSignal
}

const isTerminal = (state: string): boolean => state === 'STATE_DONE' || state === 'STATE_CANCELLED'

/**
 * A reader of the previous version. Each stream resumes at the cursor of the latest event, or of the headers if there
 * was no event yet. Repeated terminal events are dropped, and the watch ends when a server completes a stream.
 */
export class PreviousVersionReader {
	/** jobs of the terminal events that were passed on, in order */
	readonly delivered: string[] = []
	/** jobs of the terminal events that were dropped because they had been passed on before */
	readonly duplicates: string[] = []
	private readonly terminalJobs = new Set<string>()
	private cursor = ''

	constructor(private readonly uids: readonly string[]) {}

	/** Reads one stream to its end, or until it is cancelled. */
	async read(
		client: JobsClient,
		{ cancelAfter = () => Number.POSITIVE_INFINITY, signal }: ReadOptions = {},
	): Promise<'complete' | 'interrupted'> {
		const metadata = new Metadata()
		metadata.set('watch-id', 'a watch of the previous version')
		const call = client.Watch({ uids: [...this.uids], cursor: this.cursor }, metadata)
		const headersArrived = this.headersOrError(call)
		const cancel = (): void => call.cancel()
		signal?.addEventListener('abort', cancel)
		if (signal?.aborted) cancel()
		try {
			if (cancelAfter() === 0) {
				await headersArrived
				return 'interrupted'
			}
			return (await this.readEvents(call, cancelAfter)) ? 'complete' : 'interrupted'
		} catch (error) {
			const { code } = error as ServiceError
			// The cursor was rejected: the next stream starts with the current state.
			if (code === status.OUT_OF_RANGE || code === status.INVALID_ARGUMENT) this.cursor = ''
			return 'interrupted'
		} finally {
			signal?.removeEventListener('abort', cancel)
			call.on('error', () => {})
			call.cancel()
		}
	}

	/** Resolves when the headers arrive or the call fails. */
	private headersOrError(call: ClientReadableStream<EventMessage>): Promise<void> {
		return new Promise((done) => {
			call.on('metadata', (headers) => {
				const [start] = headers.get('cursor')
				if (start !== undefined && this.cursor === '') this.cursor = String(start)
				done()
			})
			call.on('error', () => done())
		})
	}

	/** Returns whether the server completed the stream; false: the reader stopped reading first. */
	private async readEvents(
		call: ClientReadableStream<EventMessage>,
		cancelAfter: () => number,
	): Promise<boolean> {
		let received = 0
		for await (const { uid, state, cursor } of call as AsyncIterable<EventMessage>) {
			this.cursor = cursor
			if (isTerminal(state)) {
				const events = this.terminalJobs.has(uid) ? this.duplicates : this.delivered
				events.push(uid)
				this.terminalJobs.add(uid)
			}
			if (++received >= cancelAfter()) return false
		}
		return true
	}
}

/**
 * A server of the previous version whose records no longer change. It takes every terminal state before a cursor as
 * delivered, also those that it does not know.
 */
export class PreviousVersionServer {
	/** `terminalRevisions`: where each job's terminal state became durable; `missingJobs`: unknown to this server. */
	constructor(
		private readonly terminalRevisions: ReadonlyMap<string, number>,
		private readonly missingJobs: readonly string[],
		private readonly revision: number,
	) {}

	/** Serves a stream that breaks after the given number of events, and always when a job is missing. */
	serve({ uids, cursor }: WatchMessage, eventsBeforeBreak = Number.POSITIVE_INFINITY): ScriptedStream {
		const cursors = new CursorCodec(INSTALLATION_ID, { uids })
		const start = cursor === '' ? this.currentPosition() : cursors.decode(cursor)
		if (start === null || start.revision > this.revision)
			return { headers: '', events: [], end: 'cursor rejected' }
		const known = uids
			.filter((uid) => this.terminalRevisions.has(uid) && !this.missingJobs.includes(uid))
			.sort()
		const positions = known.flatMap((uid) => this.positionOf(uid, start) ?? [])
		const events = positions.map((position) => ({
			uid: position.uid,
			state: 'STATE_DONE' as const,
			done: 1,
			running: 0,
			tasks: 1,
			cursor: cursors.encode(position),
		}))
		const isComplete = known.length === uids.length && events.length <= eventsBeforeBreak
		return {
			headers: cursors.encode(start),
			events: events.slice(0, eventsBeforeBreak),
			end: isComplete ? 'complete' : 'broken',
		}
	}

	private currentPosition(): StreamPosition {
		return { phase: 'present', revision: this.revision, uid: '' }
	}

	/** The position of the job's event in a stream that starts here; null: the cursor counts it as delivered. */
	private positionOf(uid: string, start: StreamPosition): StreamPosition | null {
		const revision = this.terminalRevisions.get(uid) ?? 0
		if (start.phase === 'present' && revision <= start.revision)
			return uid > start.uid ? { ...start, uid } : null
		const startUid = start.phase === 'present' ? AFTER_ALL_IDS : start.uid
		const isLater = revision > start.revision || (revision === start.revision && uid > startUid)
		return isLater ? { phase: 'live', revision, uid } : null
	}
}

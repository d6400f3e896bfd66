/**
 * Stand-ins for the client and the servers of before (575715b), as far as streams by ids go. Then a cursor was taken for the
 * proof that every terminal state before it was told, by both sides.
 */
import { type ClientReadableStream, Metadata, type ServiceError, status } from '@grpc/grpc-js'
import { CursorCodec, type StreamPosition } from '@heathroad/events'
import type { EventMessage, JobsClient, WatchMessage } from '@heathroad/proto'
import type { ScriptedStream } from './scripted-grpc-server.js'
import { INSTALLATION } from './stepped-controller.js'

/** After the last id. */
const LAST = '~'

/** How a reader ends a stream by itself. */
export interface ReadOptions {
	/** after how many events the reader cuts the stream, asked anew after each event; 0: as soon as the stream began */
	cutAfter?: () => number
	/** cancels the stream when it is aborted */
	signal?: AbortSignal
}

const isTerminal = (state: string): boolean => state === 'STATE_DONE' || state === 'STATE_CANCELLED'

/**
 * A reader of before: its next stream resumes at the cursor of the latest event, or of the headers before the first one; it
 * drops terminal events that it had; and it is over when a server says so.
 */
export class ReaderOfBefore {
	/** jobs of the terminal events that were passed on, in their order */
	readonly told: string[] = []
	/** jobs of the terminal events that were dropped, since they had been passed on */
	readonly dropped: string[] = []
	private readonly terminalJobs = new Set<string>()
	private cursor = ''

	constructor(private readonly uids: readonly string[]) {}

	/** Reads one stream. */
	async read(
		client: JobsClient,
		{ cutAfter = () => Number.POSITIVE_INFINITY, signal }: ReadOptions = {},
	): Promise<'complete' | 'cut or broken'> {
		const metadata = new Metadata()
		metadata.set('watch-id', 'a watch of before')
		const call = client.Watch({ uids: [...this.uids], cursor: this.cursor }, metadata)
		const begun = this.begin(call)
		const cancel = (): void => call.cancel()
		signal?.addEventListener('abort', cancel)
		if (signal?.aborted) cancel()
		try {
			if (cutAfter() === 0) {
				await begun
				return 'cut or broken'
			}
			return (await this.takeEvents(call, cutAfter)) ? 'complete' : 'cut or broken'
		} catch (error) {
			const { code } = error as ServiceError
			// The cursor was rejected: the next stream begins with the present state.
			if (code === status.OUT_OF_RANGE || code === status.INVALID_ARGUMENT) this.cursor = ''
			return 'cut or broken'
		} finally {
			signal?.removeEventListener('abort', cancel)
			call.on('error', () => {})
			call.cancel()
		}
	}

	/** Is over once the headers are there, or will never be. */
	private begin(call: ClientReadableStream<EventMessage>): Promise<void> {
		return new Promise((done) => {
			call.on('metadata', (headers) => {
				const [start] = headers.get('cursor')
				if (start !== undefined && this.cursor === '') this.cursor = String(start)
				done()
			})
			call.on('error', () => done())
		})
	}

	/** True: the server called the stream complete. */
	private async takeEvents(
		call: ClientReadableStream<EventMessage>,
		cutAfter: () => number,
	): Promise<boolean> {
		let taken = 0
		for await (const { uid, state, cursor } of call as AsyncIterable<EventMessage>) {
			this.cursor = cursor
			if (isTerminal(state)) {
				const events = this.terminalJobs.has(uid) ? this.dropped : this.told
				events.push(uid)
				this.terminalJobs.add(uid)
			}
			if (++taken >= cutAfter()) return false
		}
		return true
	}
}

/**
 * A server of before, at which no record changes any more. Of the states that it lacks it holds, as of all others, that they
 * were told before a cursor that is later.
 */
export class ServerOfBefore {
	/** `ended`: the revision at which each job's terminal state became durable; `lacks`: jobs whose state is unknown here. */
	constructor(
		private readonly ended: ReadonlyMap<string, number>,
		private readonly lacks: readonly string[],
		private readonly revision: number,
	) {}

	/** A stream that breaks after so many events; one that is not complete breaks in any case. */
	serve({ uids, cursor }: WatchMessage, breaksAfter = Number.POSITIVE_INFINITY): ScriptedStream {
		const cursors = new CursorCodec(INSTALLATION, { uids })
		const start = cursor === '' ? this.present() : cursors.decode(cursor)
		if (start === null || start.revision > this.revision)
			return { headers: '', events: [], end: 'cursor rejected' }
		const known = uids.filter((uid) => this.ended.has(uid) && !this.lacks.includes(uid)).sort()
		const positions = known.flatMap((uid) => this.positionOf(uid, start) ?? [])
		const events = positions.map((position) => ({
			uid: position.uid,
			state: 'STATE_DONE' as const,
			done: 1,
			running: 0,
			tasks: 1,
			cursor: cursors.encode(position),
		}))
		const isComplete = known.length === uids.length && events.length <= breaksAfter
		return {
			headers: cursors.encode(start),
			events: events.slice(0, breaksAfter),
			end: isComplete ? 'complete' : 'broken',
		}
	}

	private present(): StreamPosition {
		return { phase: 'present', revision: this.revision, uid: '' }
	}

	/** The position of the job's event in a stream that begins here; null: it counts as told before. */
	private positionOf(uid: string, start: StreamPosition): StreamPosition | null {
		const revision = this.ended.get(uid) ?? 0
		if (start.phase === 'present' && revision <= start.revision)
			return uid > start.uid ? { ...start, uid } : null
		const startUid = start.phase === 'present' ? LAST : start.uid
		const isLater = revision > start.revision || (revision === start.revision && uid > startUid)
		return isLater ? { phase: 'live', revision, uid } : null
	}
}

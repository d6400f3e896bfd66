/** The client for users of an installation. */
import { DeadlineOver, Interrupted } from './errors.js'
import { callSignal } from './interruption.js'
import { JobWatcher, type WatchOptions, type WatchWarning } from './job-watcher.js'
import { type CallOptions, RetryingCaller } from './retrying-caller.js'
import { type Submission, toJobSpec } from './submission.js'
import { isFinal, type JobEvent, type JobInfo, type Selection } from './transport.js'
import { TransportPool } from './transport-pool.js'

export type { WatchWarning } from './job-watcher.js'
export type { CallOptions } from './retrying-caller.js'

export interface ClientOptions {
	/** gRPC addresses of one installation's controllers, as IP:PORT; tried in turn */
	grpc?: readonly string[]
	/** HTTP addresses, used where no gRPC server answers */
	http?: readonly string[]
	/** for a call with all its retries, in ms; 60 s by default */
	deadlineMs?: number
	/** for one try, in ms; 5 s by default */
	tryMs?: number
	/** between two polls of a job where there are no streams, in ms; 5 s by default */
	pollMs?: number
	/** called for what is wrong at a controller and worth a line in a log; the client goes on by itself */
	onWarning?: (warning: WatchWarning) => void
}

const DEFAULT_OPTIONS: Required<ClientOptions> = {
	grpc: [],
	http: [],
	deadlineMs: 60_000,
	tryMs: 5000,
	pollMs: 5000,
	onWarning: () => {},
}

/**
 * Submits, watches and cancels jobs of one installation. A call is tried at one address after the other until it is
 * answered or its deadline is over; a submission keeps its id over all tries, so it is never carried out twice.
 */
export class Client {
	private readonly transports: TransportPool
	private readonly caller: RetryingCaller
	private readonly watcher: JobWatcher
	private warnings = 0

	/** `random`: numbers from 0 to 1, for jitter and the first address. */
	constructor(options: ClientOptions, random: () => number = Math.random) {
		const all = { ...DEFAULT_OPTIONS, ...options }
		if (all.grpc.length + all.http.length === 0)
			throw new TypeError('a client needs an address: grpc or http')
		this.transports = new TransportPool(all, random)
		this.caller = new RetryingCaller(this.transports, all, random)
		const onWarning = (warning: WatchWarning) => {
			this.warnings++
			all.onWarning(warning)
		}
		this.watcher = new JobWatcher(this.transports, this.caller, all.pollMs, random, onWarning)
	}

	/** Warnings so far. */
	get warningCount(): number {
		return this.warnings
	}

	/**
	 * Submits a job; resolves with its state once it is accepted. Without a `uid` it gets one, the same in all tries.
	 * Errors: `MalformedJob`, `NeverRuns`, `DeadlineOver`, `Interrupted`. Their `mayBeAccepted` says whether the job may
	 * run all the same, and their `uid` is the id by which to query or submit it again.
	 */
	submit(job: Submission, call: CallOptions = {}): Promise<JobInfo> {
		const spec = toJobSpec(job)
		return this.caller.call(spec.uid, call, (transport, timeoutMs, signal) =>
			transport.submit(spec, timeoutMs, signal),
		)
	}

	/** A job's present state. Errors: `UnknownJob`, `DeadlineOver`, `Interrupted`. */
	get(uid: string, call: CallOptions = {}): Promise<JobInfo> {
		return this.caller.call(uid, call, (transport, timeoutMs, signal) =>
			transport.get(uid, timeoutMs, signal),
		)
	}

	/** Cancels a job; resolves with its terminal state, which is `done` if that came first. Errors: as `get`. */
	cancel(uid: string, call: CallOptions = {}): Promise<JobInfo> {
		return this.caller.call(uid, call, (transport, timeoutMs, signal) =>
			transport.cancel(uid, timeoutMs, signal),
		)
	}

	/** Waits until a job is terminal, without a deadline for as long as that takes. Errors: as `watch`, `DeadlineOver`. */
	async wait(uid: string, call: CallOptions = {}): Promise<JobInfo> {
		const timeout = call.deadlineMs === undefined ? undefined : AbortSignal.timeout(call.deadlineMs)
		const signal = callSignal(timeout, call.signal)
		try {
			for await (const { state, done, running } of this.watch({ uids: [uid] }, { signal }))
				if (isFinal(state)) return { uid, state, done, running }
		} catch (error) {
			if (error instanceof Interrupted && timeout?.aborted)
				throw new DeadlineOver('not over in time', uid, true)
			throw error
		}
		throw new Interrupted('the stream ended without a final state', uid, true)
	}

	/**
	 * The states of jobs as they change, beginning with the present ones: of named jobs, which may be submitted later,
	 * until all of them are terminal; or of a team's jobs, without an end. Each terminal state is delivered exactly once. A
	 * watch of named jobs ends only once it has delivered the terminal state of each, unless it began at a cursor.
	 * When a controller ends, the watch resumes at another one. Errors: `Interrupted`; `NeedsGrpc` for a team where no
	 * gRPC address is known; `MalformedJob` for an id of another form.
	 */
	watch(selection: Selection, call: WatchOptions = {}): AsyncGenerator<JobEvent, void> {
		return this.watcher.watch(selection, call)
	}

	/** Closes the connections; a later call opens new ones. */
	close(): void {
		this.transports.close()
	}
}

/** The client that users of an installation create. */
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
	/** gRPC addresses of the installation's controllers, as IP:PORT; tried in turn */
	grpc?: readonly string[]
	/** HTTP addresses of the controllers, as IP:PORT; used if no gRPC server answers */
	http?: readonly string[]
	/** timeout of a call including all its retries, in ms; 60 s by default */
	deadlineMs?: number
	/** timeout of one try, in ms; 5 s by default */
	tryMs?: number
	/** interval at which a job is polled if there are no streams, in ms; 5 s by default */
	pollMs?: number
	/** called for a fault of a controller that is worth logging; the client recovers from it by itself */
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
 * answered or its deadline has passed. A submission has the same id in all tries, so it is never executed twice.
 */
export class Client {
	private readonly transports: TransportPool
	private readonly caller: RetryingCaller
	private readonly watcher: JobWatcher
	private warnings = 0

	/** `random`: returns numbers from 0 to 1, for jitter and for choosing the first address. */
	constructor(options: ClientOptions, random: () => number = Math.random) {
		const settings = { ...DEFAULT_OPTIONS, ...options }
		if (settings.grpc.length + settings.http.length === 0)
			throw new TypeError('a client needs an address: grpc or http')
		this.transports = new TransportPool(settings, random)
		this.caller = new RetryingCaller(this.transports, settings, random)
		const onWarning = (warning: WatchWarning) => {
			this.warnings++
			settings.onWarning(warning)
		}
		this.watcher = new JobWatcher(this.transports, this.caller, settings.pollMs, random, onWarning)
	}

	/** Number of warnings so far. */
	get warningCount(): number {
		return this.warnings
	}

	/**
	 * Submits a job; resolves with its state once it is accepted. A job without a `uid` gets one, the same in all tries.
	 * Errors: `MalformedJob`, `NeverRuns`, `DeadlineOver`, `Interrupted`. Their `mayBeAccepted` says whether the job may
	 * run despite the error, and their `uid` is the id with which to query or resubmit it.
	 */
	submit(job: Submission, call: CallOptions = {}): Promise<JobInfo> {
		const spec = toJobSpec(job)
		return this.caller.call(spec.uid, call, (transport, timeoutMs, signal) =>
			transport.submit(spec, timeoutMs, signal),
		)
	}

	/** Returns a job's current state. Errors: `UnknownJob`, `DeadlineOver`, `Interrupted`. */
	get(uid: string, call: CallOptions = {}): Promise<JobInfo> {
		return this.caller.call(uid, call, (transport, timeoutMs, signal) =>
			transport.get(uid, timeoutMs, signal),
		)
	}

	/** Cancels a job; resolves with its terminal state, which is `done` if the job finished first. Errors: as `get`. */
	cancel(uid: string, call: CallOptions = {}): Promise<JobInfo> {
		return this.caller.call(uid, call, (transport, timeoutMs, signal) =>
			transport.cancel(uid, timeoutMs, signal),
		)
	}

	/** Waits until a job is terminal, indefinitely if no deadline is given. Errors: as `watch`, and `DeadlineOver`. */
	async wait(uid: string, call: CallOptions = {}): Promise<JobInfo> {
		const timeout = call.deadlineMs === undefined ? undefined : AbortSignal.timeout(call.deadlineMs)
		const signal = callSignal(timeout, call.signal)
		try {
			for await (const { state, done, running } of this.watch({ uids: [uid] }, { signal }))
				if (isFinal(state)) return { uid, state, done, running }
		} catch (error) {
			if (error instanceof Interrupted && timeout?.aborted)
				throw new DeadlineOver('not finished before the deadline', uid, true)
			throw error
		}
		throw new Interrupted('the watch ended without a terminal state', uid, true)
	}

	/**
	 * Yields the current states of jobs and then each change: of named jobs, which may be submitted later, until all of
	 * them are terminal; or of a team's jobs, indefinitely. Each terminal state is delivered exactly once. A watch of named
	 * jobs ends only once it has delivered the terminal state of each, unless it started at a cursor. When a controller
	 * shuts down or crashes, the watch resumes at another one. Errors: `Interrupted`; `NeedsGrpc` for a team if no gRPC
	 * address is known; `MalformedJob` for a malformed id.
	 */
	watch(selection: Selection, call: WatchOptions = {}): AsyncGenerator<JobEvent, void> {
		return this.watcher.watch(selection, call)
	}

	/** Closes all connections; later calls open new ones. */
	close(): void {
		this.transports.close()
	}
}

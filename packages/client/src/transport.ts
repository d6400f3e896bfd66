/** The interface that gRPC and HTTP transports implement: calls to one address, and their outcomes. */
import type { JobSpec, JobStatus } from '@heathroad/wire'

export type JobState = 'pending' | 'running' | 'done' | 'cancelled'

/** A job's state, with the numbers of done and running tasks for display. */
export interface JobInfo {
	uid: string
	state: JobState
	done: number
	running: number
}

/** A state of a watched job. */
export interface JobEvent extends JobInfo {
	/** total number of tasks; 0: unknown */
	tasks: number
	/** cursor with which a later watch of the same selection resumes after this event; empty: it cannot resume */
	cursor: string
	/** whether a stream had to restart since the start of the watch: states in between may have been missed */
	afterGap: boolean
}

/** Whether a state is terminal. */
export const isFinal = (state: JobState): boolean => state === 'done' || state === 'cancelled'

/** Converts a job status of the protocols to the state that users see. */
export const stateFrom = (status: JobStatus): JobState => (status === 'aborted' ? 'cancelled' : status)

/** Why a call cannot succeed; such a call is not retried. */
export type RejectionReason = 'malformed' | 'never runs' | 'unknown job'

/** A call that the service rejected. */
export interface Rejection {
	kind: 'rejected'
	reason: RejectionReason
	text: string
}

/** A failed call that may succeed on a retry. */
export interface RetryableFailure {
	kind: 'retryable'
	text: string
	/** retry delay that the service requested, in ms; null: none */
	retryAfterMs: number | null
	/** false: the call was certainly not executed */
	mayBeAccepted: boolean
	/** no connection was established, so another address may be tried immediately */
	isUnreachable: boolean
	/** the connection broke during the call: the controller may be gone, but nothing indicates that it is overloaded */
	isConnectionLost?: boolean
	/** the controller answered that it cannot serve the call now, with a retry delay; others may serve it */
	isNotServing?: boolean
	/** there is no gRPC server at this address */
	lacksGrpc?: boolean
}

/** The outcome of one try of a call. */
export type Outcome = { kind: 'job'; job: JobInfo } | Rejection | RetryableFailure

/** The jobs to watch: named ones, or all jobs of a team. */
export type Selection = { uids: readonly string[] } | { team: string }

/** The request for one stream of a watch. */
export interface WatchRequest {
	selection: Selection
	/** where the stream resumes; empty: it starts with the current state */
	cursor: string
	/** shared by all streams of a watch, to correlate the logs of the controllers that serve it one after the other */
	watchId: string
}

/** How a stream ended. */
export type StreamEnd =
	/** every event was delivered */
	| { kind: 'complete' }
	/** the service no longer accepts the cursor: the watch must restart with the current state */
	| { kind: 'restart'; text: string }
	| Rejection
	| RetryableFailure

/** Calls to one address of an installation. */
export interface Transport {
	readonly address: string
	submit(job: JobSpec, timeoutMs: number, signal: AbortSignal): Promise<Outcome>
	get(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome>
	cancel(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome>
	/**
	 * Yields events until the stream ends, and returns how it ended. `onStart` receives the cursor at which the stream
	 * starts, before the first event. Absent: the protocol has no streams.
	 */
	watch?(
		request: WatchRequest,
		signal: AbortSignal,
		onStart: (cursor: string) => void,
	): AsyncGenerator<JobEvent, StreamEnd>
	/** Closes the connections. */
	close(): void
}

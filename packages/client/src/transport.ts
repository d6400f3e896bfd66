/** What the client needs of a protocol: calls of one address, and how they end. */
import type { JobSpec, JobStatus } from '@heathroad/wire'

export type JobState = 'pending' | 'running' | 'done' | 'cancelled'

/** A job's state with its numbers of done and running tasks, for display. */
export interface JobInfo {
	uid: string
	state: JobState
	done: number
	running: number
}

/** A state of a watched job. */
export interface JobEvent extends JobInfo {
	/** number of all tasks; 0: unknown */
	tasks: number
	/** a later watch of the same selection may resume after this event; empty: it cannot */
	cursor: string
	/** the stream had to begin anew since the watch began: states in between may have been missed */
	afterGap: boolean
}

/** Whether a state is terminal. */
export const isFinal = (state: JobState): boolean => state === 'done' || state === 'cancelled'

/** The state for users of a status of the protocols. */
export const stateFrom = (status: JobStatus): JobState => (status === 'aborted' ? 'cancelled' : status)

/** Why a call can't succeed, so that it is not retried. */
export type RejectionReason = 'malformed' | 'never runs' | 'unknown job'

/** The service rejected a call. */
export interface Rejection {
	kind: 'rejected'
	reason: RejectionReason
	text: string
}

/** A call failed in a way that is worth a retry. */
export interface RetryableFailure {
	kind: 'retryable'
	text: string
	/** delay that the service asked for, in ms; null: none */
	retryAfterMs: number | null
	/** false: the call was certainly not carried out */
	mayBeAccepted: boolean
	/** no connection came about, so another address may be tried at once */
	isUnreachable: boolean
	/** the connection broke during the call: the controller may be gone, and is not overloaded for all one knows */
	isConnectionLost?: boolean
	/** the controller answered that it cannot serve the call now, and when to come back; others may serve it */
	isNotServing?: boolean
	/** there is no gRPC server at this address */
	lacksGrpc?: boolean
}

/** How one try of a call ended. */
export type Outcome = { kind: 'job'; job: JobInfo } | Rejection | RetryableFailure

/** The jobs to be watched: named ones, or all of a team. */
export type Selection = { uids: readonly string[] } | { team: string }

/** What one stream of a watch asks for. */
export interface WatchRequest {
	selection: Selection
	/** where the stream resumes; empty: it begins with the present state */
	cursor: string
	/** the same for all streams of a watch, for the logs of the controllers that serve it one after the other */
	watchId: string
}

/** How a stream ended. */
export type StreamEnd =
	/** every event was delivered */
	| { kind: 'complete' }
	/** the service does not accept the cursor any more: the watch must begin anew with the present state */
	| { kind: 'restart'; text: string }
	| Rejection
	| RetryableFailure

/** One address of an installation. */
export interface Transport {
	readonly address: string
	submit(job: JobSpec, timeoutMs: number, signal: AbortSignal): Promise<Outcome>
	get(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome>
	cancel(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome>
	/**
	 * Events until the stream ends; the generator returns how it ended. `onStart` receives the cursor at which the stream
	 * begins, before the first event. Absent: the protocol has no streams.
	 */
	watch?(
		request: WatchRequest,
		signal: AbortSignal,
		onStart: (cursor: string) => void,
	): AsyncGenerator<JobEvent, StreamEnd>
	/** Closes the connections. */
	close(): void
}

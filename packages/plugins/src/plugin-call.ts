/** Calls of plug-ins, and the queue in which they wait for a version to take them. */
import type { Hook } from '@heathroad/plugin-api'

/** How a call ended for its caller. */
export type CallResult =
	| { kind: 'answer'; value: unknown }
	/** no valid answer; another call makes sense after `againMs` */
	| { kind: 'unsure'; why: string; againMs: number }

/** How a call ended at a version: with a valid answer, or not. */
export type CallOutcome = { kind: 'answer'; value: unknown } | { kind: 'failure'; why: string }

/** What a caller says of its call. */
export interface CallOptions {
	/** the job that the call is about, to tell a job at fault from a plug-in at fault */
	subject: string
	/** how long one try may take, in ms */
	tryTimeoutMs: number
	/** how long the call may take in all, with the time in the queue and retries, in ms */
	timeoutMs: number
}

/** A call in the queue, or under way at a version. */
export interface PluginCall {
	/** number of the try; a retry gets another one, so that a late answer to an earlier try is ignored */
	id: number
	hook: Hook
	args: readonly unknown[]
	subject: string
	tryTimeoutMs: number
	/** no retry begins at or after this time, steady ms */
	deadline: number
	done: (result: CallResult) => void
}

/** Pending calls, in their order; admissions go before releases, since users wait for them. */
export class CallQueue {
	private readonly queues: Record<Hook, PluginCall[]> = { admit: [], release: [] }
	private readonly timers = new Map<PluginCall, ReturnType<typeof setTimeout>>()

	get length(): number {
		return this.queues.admit.length + this.queues.release.length
	}

	/** Appends a call; `onTimeout` runs after `timeoutMs` unless the call was settled. */
	append(call: PluginCall, timeoutMs: number, onTimeout: () => void): void {
		this.queues[call.hook].push(call)
		this.timers.set(call, setTimeout(onTimeout, timeoutMs))
	}

	/** Puts a call that is to be retried in front of all others of its hook. */
	prepend(call: PluginCall): void {
		this.queues[call.hook].unshift(call)
	}

	/** Takes the next call out of the queue. */
	take(): PluginCall | undefined {
		return this.queues.admit.shift() ?? this.queues.release.shift()
	}

	/** Takes a call out of the queue; false: it is under way or settled. */
	remove(call: PluginCall): boolean {
		const queue = this.queues[call.hook]
		const index = queue.indexOf(call)
		if (index < 0) return false
		queue.splice(index, 1)
		return true
	}

	/** Passes the result to the caller. */
	settle(call: PluginCall, result: CallResult): void {
		clearTimeout(this.timers.get(call))
		this.timers.delete(call)
		call.done(result)
	}

	/** All pending calls at this moment. */
	list(): readonly PluginCall[] {
		return [...this.queues.admit, ...this.queues.release]
	}
}

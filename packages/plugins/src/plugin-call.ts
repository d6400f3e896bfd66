/** Calls of plug-ins, and the queue of pending calls. */
import type { Hook } from '@heathroad/plugin-api'

/** Result of a call, as its caller receives it. */
export type CallResult =
	| { kind: 'answer'; value: unknown }
	/** no valid answer; the caller may retry after `againMs` */
	| { kind: 'unsure'; why: string; againMs: number }

/** Outcome of one try of a call at a version. */
export type CallOutcome = { kind: 'answer'; value: unknown } | { kind: 'failure'; why: string }

/** Options of a call. */
export interface CallOptions {
	/** id of the job that the call is about, to attribute failures to the job or to the plug-in */
	subject: string
	/** timeout of one try, in ms */
	tryTimeoutMs: number
	/** timeout of the whole call, including the time in the queue and retries, in ms */
	timeoutMs: number
}

/** A call that is pending in the queue or in flight at a version. */
export interface PluginCall {
	/** id of the try; a retry gets a new one, so that a late answer to an earlier try is ignored */
	id: number
	hook: Hook
	args: readonly unknown[]
	subject: string
	tryTimeoutMs: number
	/** no retry starts at or after this time, in monotonic ms */
	deadline: number
	done: (result: CallResult) => void
}

/** FIFO queue of pending calls. Admissions take precedence over releases, since users wait for admissions. */
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

	/** Puts a call to be retried at the front of its hook's queue. */
	prepend(call: PluginCall): void {
		this.queues[call.hook].unshift(call)
	}

	/** Removes and returns the next call. */
	take(): PluginCall | undefined {
		return this.queues.admit.shift() ?? this.queues.release.shift()
	}

	/** Removes a call; returns false if it is in flight or settled. */
	remove(call: PluginCall): boolean {
		const queue = this.queues[call.hook]
		const index = queue.indexOf(call)
		if (index < 0) return false
		queue.splice(index, 1)
		return true
	}

	/** Cancels the call's timeout and passes the result to the caller. */
	settle(call: PluginCall, result: CallResult): void {
		clearTimeout(this.timers.get(call))
		this.timers.delete(call)
		call.done(result)
	}

	/** Returns a copy of the list of pending calls. */
	list(): readonly PluginCall[] {
		return [...this.queues.admit, ...this.queues.release]
	}
}

/** Detects standstills of this process (suspended, starved of CPU) by the time between its periodic ticks. */
import type { MembershipContext } from './membership-context.js'
import { MAX_FAILBACK_SUSPENSION, STANDSTILL_THRESHOLD } from './membership-ratios.js'

/**
 * After a standstill, everything is overdue at once: missing responses are no evidence of an outage of the state service. A
 * process with repeated standstills must not get its shards back in between.
 */
export class StandstillDetector {
	readonly startedAt: number
	private resumedAt: number
	private lastTickAt: number
	private failbackBlockedUntil = 0

	constructor(private readonly context: MembershipContext) {
		this.startedAt = context.now()
		this.resumedAt = this.startedAt
		this.lastTickAt = this.startedAt
	}

	/** Monotonic time since which the process has run uninterrupted: its start, or the end of its last standstill. */
	get runningSince(): number {
		return this.resumedAt
	}

	/** Whether it is too soon after a standstill for shards to be handed back. */
	get blocksFailback(): boolean {
		return this.context.now() < this.failbackBlockedUntil
	}

	/** Must be called at intervals far shorter than the threshold. */
	tick(): void {
		const { limits, events } = this.context
		const now = this.context.now()
		const pausedMs = now - this.lastTickAt
		this.lastTickAt = now
		if (pausedMs < limits.controllerLeaseMs * STANDSTILL_THRESHOLD) return
		this.resumedAt = now
		this.failbackBlockedUntil = now + Math.min(pausedMs, limits.agentLeaseMs * MAX_FAILBACK_SUSPENSION)
		events.log('info', 'process standstill', { ms: Math.round(pausedMs) })
	}
}

/** Detects that this process stood still (suspended, starved of CPU), from the distance of its regular ticks. */
import type { MembershipContext } from './membership-context.js'
import { MAX_FAILBACK_BLOCK, STANDSTILL_THRESHOLD } from './membership-ratios.js'

/**
 * A process that stood still finds everything overdue at once: that it heard nothing from the state service is no evidence
 * about the service, and one that stands still now and then must not get its shards back each time in between.
 */
export class StandstillDetector {
	readonly startedAt: number
	private resumedAt: number
	private lastTickAt: number
	private noFailbackUntil = 0

	constructor(private readonly context: MembershipContext) {
		this.startedAt = context.now()
		this.resumedAt = this.startedAt
		this.lastTickAt = this.startedAt
	}

	/** Since when the process has run without standing still: its start, or the end of its last standstill. */
	get runningSince(): number {
		return this.resumedAt
	}

	/** Is it too soon after a standstill for shards to come back? */
	get blocksFailback(): boolean {
		return this.context.now() < this.noFailbackUntil
	}

	/** Must be called at intervals far shorter than the threshold. */
	tick(): void {
		const { limits, events } = this.context
		const now = this.context.now()
		const stoodMs = now - this.lastTickAt
		this.lastTickAt = now
		if (stoodMs < limits.controllerLeaseMs * STANDSTILL_THRESHOLD) return
		this.resumedAt = now
		this.noFailbackUntil = now + Math.min(stoodMs, limits.agentLeaseMs * MAX_FAILBACK_BLOCK)
		events.log('info', 'process standstill', { ms: Math.round(stoodMs) })
	}
}

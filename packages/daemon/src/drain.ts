/** Drains a controller: hands off its shards and finishes its requests, so that users and machines are not affected. */

import type { DaemonSettings } from '@heathroad/config'
import type { Log } from '@heathroad/logging'
import type { Service } from '@heathroad/server'

/**
 * `serving`: no drain. `leaving`: the load balancer's health checks fail, requests are still served. `handing`: new
 * jobs are rejected, shards are handed off. `over`: the process may end. The names appear in responses and in the log.
 */
export type DrainPhase = 'serving' | 'leaving' | 'handing' | 'over'

/** Inputs of `nextPhase`. */
export interface DrainState {
	phase: DrainPhase
	/** time since the drain began, in ms */
	sinceMs: number
	/** number of shards that this controller owns */
	shards: number
	/** number of submissions that have not been answered */
	submissions: number
	/** whether there are other controllers, which can take the shards */
	hasPeers: boolean
}

/** Interval at which the drain checks for its next phase, in ms. */
const STEP_INTERVAL_MS = 100

/**
 * Fraction of the drain timeout after which shards are handed off even if they are busy; the rest of the time is for
 * that handoff.
 */
const FORCED_HANDOFF_FRACTION = 0.7

/**
 * Returns the next phase. `leaving` lasts for the time that the load balancer needs to stop sending requests, `handing`
 * until all shards are handed off and all pending submissions are answered. At the drain timeout the drain ends with
 * whatever is left; remaining shards become free when the controller lease expires, as after a crash.
 */
export const nextPhase = (
	{ phase, sinceMs, shards, submissions, hasPeers }: DrainState,
	{ drainTimeoutS, balancerDelayS }: DaemonSettings,
): DrainPhase => {
	if (sinceMs >= drainTimeoutS * 1000) return 'over'
	if (phase === 'serving') return 'leaving'
	if (phase === 'leaving' && sinceMs < balancerDelayS * 1000) return 'leaving'
	if (submissions > 0) return 'handing'
	return shards > 0 && hasPeers ? 'handing' : 'over'
}

/** Drains one controller, at most once. */
export class Drain {
	private currentPhase: DrainPhase = 'serving'
	private startedAtMs = 0
	private readonly finished: Promise<void>
	private finish: () => void = () => {}

	constructor(
		private readonly service: Service,
		private readonly settings: DaemonSettings,
		private readonly log: Log,
	) {
		this.finished = new Promise((resolve) => {
			this.finish = resolve
		})
	}

	/** The current phase. */
	get phase(): DrainPhase {
		return this.currentPhase
	}

	/** Begins the drain if it has not begun; resolves when the process may end. */
	begin(): Promise<void> {
		if (this.currentPhase !== 'serving') return this.finished
		this.startedAtMs = this.service.now()
		this.step()
		const timer = setInterval(() => {
			this.step()
			if (this.currentPhase === 'over') clearInterval(timer)
		}, STEP_INTERVAL_MS)
		return this.finished
	}

	private step(): void {
		if (this.currentPhase === 'over') return
		const { parts: shards, submissions } = this.service.pendingWork
		const sinceMs = this.service.now() - this.startedAtMs
		const hasPeers = this.service.config.limits.peers.length > 0
		const phase = nextPhase(
			{ phase: this.currentPhase, sinceMs, shards, submissions, hasPeers },
			this.settings,
		)
		if (phase !== this.currentPhase)
			this.log('info', 'drain phase changed', {
				phase,
				sinceMs: Math.round(sinceMs),
				parts: shards,
				submissions,
			})
		this.currentPhase = phase
		this.enter(phase, sinceMs)
	}

	/** Applies a phase. Called at every step, since the forced handoff begins within `handing`. */
	private enter(phase: DrainPhase, sinceMs: number): void {
		if (phase === 'leaving') this.service.beginDrain()
		else if (phase === 'handing') {
			const atOnce = sinceMs > this.settings.drainTimeoutS * 1000 * FORCED_HANDOFF_FRACTION
			this.service.handOffShards(atOnce)
		} else if (phase === 'over') this.finish()
	}
}

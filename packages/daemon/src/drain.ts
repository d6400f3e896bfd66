/** Drains a controller: ends its work so that neither users nor machines notice. */

import type { DaemonSettings } from '@heathroad/config'
import type { Log } from '@heathroad/logging'
import type { Service } from '@heathroad/server'

/**
 * `serving`: no drain. `leaving`: the load balancer is notified. `handing`: no new jobs, shards are handed off. `over`:
 * nothing depends on this controller any more. The names appear in answers and in the log.
 */
export type DrainPhase = 'serving' | 'leaving' | 'handing' | 'over'

/** What the next phase depends on. */
export interface DrainState {
	phase: DrainPhase
	/** since the drain began, in ms */
	sinceMs: number
	/** shards that this controller owns */
	shards: number
	/** submissions that wait for their answer */
	submissions: number
	/** are there other controllers to hand shards to? */
	hasPeers: boolean
}

/** Interval of the drain's steps, in ms. */
const STEP_INTERVAL_MS = 100

/**
 * Share of the drain's time after which shards are handed off even if they are busy; the rest of the time is for that
 * handoff.
 */
const FORCED_HANDOFF_SHARE = 0.7

/**
 * The next phase. Each phase lasts until its condition is met: the time that the load balancer needs to stop sending
 * requests, then the handoff of all shards and the answers to pending submissions. At the end of the drain's time it
 * ends with whatever is left; the shards are then freed when the controller lease ends, as after a crash.
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

/** The drain of one controller; it happens at most once. */
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

	/** Begins the drain, if it has not begun; resolves when the process may end. */
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

	/** Applies a phase; also when it has not changed, since a forced handoff begins within its phase. */
	private enter(phase: DrainPhase, sinceMs: number): void {
		if (phase === 'leaving') this.service.beginDrain()
		else if (phase === 'handing') {
			const atOnce = sinceMs > this.settings.drainTimeoutS * 1000 * FORCED_HANDOFF_SHARE
			this.service.handOffShards(atOnce)
		} else if (phase === 'over') this.finish()
	}
}

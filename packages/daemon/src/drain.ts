import type { DaemonSettings } from '@heathroad/config'
import type { Log } from '@heathroad/logging'
import type { Service } from '@heathroad/server'

/** `leaving`: the balancer is told. `handing`: no new jobs, parts go to others. `over`: nobody depends on us any more. */
export type Phase = 'serving' | 'leaving' | 'handing' | 'over'

export interface DrainState {
	phase: Phase
	/** since the drain began, in ms */
	sinceMs: number
	parts: number
	submissions: number
	/** are there other controllers at all? */
	alone: boolean
}

/** Of the time for a drain, the share after which parts go that are not quiet; what comes after is for their hand-over. */
const AT_ONCE = 0.7

/**
 * What comes next. Each phase waits for what it is for, and not longer: the balancer's time until it sends nobody here,
 * then the parts and the submissions that wait. When the time for all of it is over it ends whatever is left; the
 * grant's end then frees the parts, as a crash would.
 */
export const nextPhase = (s: DrainState, { drainS, balancerS }: DaemonSettings): Phase => {
	if (s.sinceMs >= drainS * 1000) return 'over'
	if (s.phase === 'serving') return 'leaving'
	if (s.phase === 'leaving' && s.sinceMs < balancerS * 1000) return 'leaving'
	if (s.submissions > 0) return 'handing'
	return s.parts > 0 && !s.alone ? 'handing' : 'over'
}

/** Ends a controller so that neither users nor machines notice: asked for twice it does no more than once. */
export class Drain {
	private state: Phase = 'serving'
	private begunAt = 0
	private readonly over: Promise<void>
	private finish: () => void = () => {}

	constructor(
		private readonly service: Service,
		private readonly settings: DaemonSettings,
		private readonly log: Log,
	) {
		this.over = new Promise((done) => {
			this.finish = done
		})
	}

	get phase(): Phase {
		return this.state
	}

	/** Resolves when the process may end. */
	begin(): Promise<void> {
		if (this.state !== 'serving') return this.over
		this.begunAt = this.service.now()
		this.step()
		const timer = setInterval(() => {
			this.step()
			if (this.state === 'over') clearInterval(timer)
		}, 100)
		return this.over
	}

	private step(): void {
		if (this.state === 'over') return
		const { parts, submissions } = this.service.pendingWork
		const sinceMs = this.service.now() - this.begunAt
		const alone = this.service.config.limits.peers.length === 0
		const next = nextPhase({ phase: this.state, sinceMs, parts, submissions, alone }, this.settings)
		if (next !== this.state)
			this.log('info', 'drain phase changed', {
				phase: next,
				sinceMs: Math.round(sinceMs),
				parts,
				submissions,
			})
		this.state = next
		if (next === 'leaving') this.service.beginDrain()
		else if (next === 'handing') this.service.handOffShards(sinceMs > this.settings.drainS * 1000 * AT_ONCE)
		else if (next === 'over') this.finish()
	}
}

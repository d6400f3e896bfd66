/** The phases of an operator's drain. */
import type { Membership } from '@heathroad/cluster'

/**
 * `serving`: no drain; `leaving`: the load balancer's health checks fail, users who still come are served; `handing`:
 * shards are handed off to other controllers, new jobs are not accepted. Operators see these names.
 */
export type DrainPhase = 'serving' | 'leaving' | 'handing'

/** The drain of one controller. */
export class Drain {
	private currentPhase: DrainPhase = 'serving'
	private handsOffAtOnce = false

	constructor(private readonly membership: Membership) {}

	get phase(): DrainPhase {
		return this.currentPhase
	}

	/** Users go elsewhere as soon as the load balancer has noticed. */
	begin(): void {
		this.currentPhase = 'leaving'
	}

	/** Begins handoff; `atOnce`: also of shards whose machines are not all accounted for. */
	handOffShards(atOnce: boolean): void {
		this.currentPhase = 'handing'
		this.handsOffAtOnce = atOnce
		this.membership.draining = true
	}

	/** Continues the handoff, if it has begun. */
	tick(): void {
		if (this.currentPhase === 'handing') this.membership.handOffAll(this.handsOffAtOnce)
	}
}

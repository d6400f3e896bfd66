/** The phases of an operator's drain. */
import type { Membership } from '@heathroad/cluster'

/**
 * `serving`: no drain; `leaving`: the load balancer's health checks fail, but users are still served; `handing`: shards
 * are handed off to other controllers and new jobs are not accepted. Operators see these names.
 */
export type DrainPhase = 'serving' | 'leaving' | 'handing'

/** Tracks the drain of one controller and hands off its shards. */
export class Drain {
	private currentPhase: DrainPhase = 'serving'
	private handsOffAtOnce = false

	constructor(private readonly membership: Membership) {}

	get phase(): DrainPhase {
		return this.currentPhase
	}

	/** Begins the drain: the load balancer sends users elsewhere once it sees the failed health checks. */
	begin(): void {
		this.currentPhase = 'leaving'
	}

	/** Begins the handoff; `atOnce`: including shards whose machines are not all accounted for. */
	handOffShards(atOnce: boolean): void {
		this.currentPhase = 'handing'
		this.handsOffAtOnce = atOnce
		this.membership.draining = true
	}

	/** Continues the handoff if it has begun. */
	tick(): void {
		if (this.currentPhase === 'handing') this.membership.handOffAll(this.handsOffAtOnce)
	}
}

/** The lease that this controller holds at the state service, to which the keys of its shards are attached. */
import { Effect } from 'effect'
import type { MembershipContext } from './membership-context.js'
import { LEASE_RELIED_ON, LEASE_RENEWAL_INTERVAL, LEASE_RETRY_INTERVAL } from './membership-ratios.js'

/** What the rest of the membership does about changes of the lease. */
export interface LeaseEvents {
	ownsShards(): boolean
	onGranted(): void
	onExpired(): void
	/** A grant or renewal failed or was withheld. */
	onFailed(): void
}

/** Grants, renews and loses the lease. */
export class ControllerLease {
	/** null: none is held */
	leaseId: number | null = null
	/** Steady time until which this controller may rely on the lease. */
	private validUntil = 0

	constructor(
		private readonly context: MembershipContext,
		private readonly events: LeaseEvents,
	) {}

	/** May this controller rely on its lease at that time? */
	isValid(now: number): boolean {
		return now < this.validUntil
	}

	/** Gets a lease and renews it until the fiber is interrupted. */
	maintain(): Effect.Effect<never> {
		const durationMs = this.context.limits.controllerLeaseMs
		return Effect.suspend(() => this.grantOrRenew()).pipe(
			Effect.match({ onFailure: () => false, onSuccess: () => true }),
			Effect.flatMap((succeeded) => {
				if (!succeeded) this.events.onFailed()
				const retrySoon = this.leaseId === null || !succeeded
				return Effect.sleep(durationMs * (retrySoon ? LEASE_RETRY_INTERVAL : LEASE_RENEWAL_INTERVAL))
			}),
			Effect.forever,
		)
	}

	private grantOrRenew(): Effect.Effect<void, unknown> {
		const { limits, cache } = this.context
		const sentAt = this.context.now()
		// The service counts the lease from when it carries out the request, which is later than when it was sent.
		const validUntil = sentAt + limits.controllerLeaseMs * LEASE_RELIED_ON - limits.clockMarginMs
		if (this.leaseId === null) return this.grant(validUntil)
		// A controller that renews its lease and does not receive changes would withhold its shards from those who do.
		const isStale = cache.ageMs(sentAt) >= limits.maxStalenessMs
		if (this.events.ownsShards() && isStale) return Effect.fail('stale')
		return this.renew(this.leaseId, validUntil)
	}

	private grant(validUntil: number): Effect.Effect<void, unknown> {
		return this.context.client.grantLease(this.context.limits.controllerLeaseMs).pipe(
			Effect.map((leaseId) => {
				this.leaseId = leaseId
				this.validUntil = validUntil
				this.events.onGranted()
			}),
		)
	}

	private renew(leaseId: number, validUntil: number): Effect.Effect<void, unknown> {
		return this.context.client.renewLease(leaseId).pipe(
			Effect.map(() => {
				if (this.leaseId === leaseId) this.validUntil = Math.max(this.validUntil, validUntil)
			}),
			Effect.catchTag('LeaseExpired', () => Effect.sync(() => this.expire())),
		)
	}

	/** The state service reported that the lease has expired. */
	expire(): void {
		this.leaseId = null
		this.validUntil = 0
		this.events.onExpired()
	}
}

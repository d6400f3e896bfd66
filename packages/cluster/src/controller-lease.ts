/** This controller's lease at the state service, to which the keys of its shards are attached. */
import { Effect } from 'effect'
import type { MembershipContext } from './membership-context.js'
import { LEASE_RENEWAL_INTERVAL, LEASE_RETRY_INTERVAL, USABLE_LEASE_FRACTION } from './membership-ratios.js'

/** Callbacks by which the rest of the membership reacts to changes of the lease. */
export interface LeaseEvents {
	ownsShards(): boolean
	onGranted(): void
	onExpired(): void
	/** A grant or renewal failed, or was not attempted. */
	onFailed(): void
}

/** Obtains and renews the lease, and tracks until when it is valid. */
export class ControllerLease {
	/** null if no lease is held */
	leaseId: number | null = null
	/** Monotonic time until which this controller may act under the lease. */
	private validUntil = 0

	constructor(
		private readonly context: MembershipContext,
		private readonly events: LeaseEvents,
	) {}

	/** Whether this controller may act under its lease at the given monotonic time. */
	isValid(now: number): boolean {
		return now < this.validUntil
	}

	/** Obtains a lease and renews it until the fiber is interrupted. */
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
		// The state service starts the lease when it executes the request, which is later than when it was sent.
		const validUntil = sentAt + limits.controllerLeaseMs * USABLE_LEASE_FRACTION - limits.clockMarginMs
		if (this.leaseId === null) return this.grant(validUntil)
		// Renewing a lease without receiving changes would keep the shards from controllers that do receive them.
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

import type { HttpClient, MachineType } from '@heathroad/wire'
import { isMap, parseMachineIds, parseMachineTypes } from '@heathroad/wire'
import { Effect } from 'effect'

export interface RentalRequest {
	name: string
	machineType: string
	zone: string
	spot: boolean
	count: number
}

export type RentResult =
	| { kind: 'rented'; machineIds: string[] }
	| { kind: 'none' }
	/** not carried out for certain, or unknown: the same name has to be asked again */
	| { kind: 'again' }
	| { kind: 'invalid' }

/** The cloud's interface, within this controller's slice of its call rate. */
export class CloudClient {
	private tokens: number
	private refilledAt: number

	constructor(
		private readonly httpClient: HttpClient,
		private readonly address: string,
		private readonly callsPerS: number,
		private readonly timeoutMs: number,
		private readonly now: () => number,
	) {
		this.tokens = this.burst()
		this.refilledAt = now()
	}

	/** Two seconds' worth, but one call at least, or a small slice would never hold one. */
	private burst(): number {
		return Math.max(1, this.callsPerS * 2)
	}

	private refill(): void {
		const now = this.now()
		this.tokens = Math.min(this.burst(), this.tokens + ((now - this.refilledAt) / 1000) * this.callsPerS)
		this.refilledAt = now
	}

	/** Waits for its turn within the slice; bursts are worth two seconds. */
	private waitForToken(): Effect.Effect<void> {
		return Effect.suspend(() => {
			this.refill()
			this.tokens -= 1
			return this.tokens >= 0 ? Effect.void : Effect.sleep((-this.tokens / this.callsPerS) * 1000)
		})
	}

	/**
	 * Calls that would go out at once. It looks at the bucket as it is by now: one that is filled only by calls stays
	 * empty for as long as nobody calls because it is empty (incident 4).
	 */
	availableCalls(): number {
		this.refill()
		return Math.max(0, Math.floor(this.tokens))
	}

	private call(method: string, path: string, body: unknown) {
		return this.waitForToken().pipe(
			Effect.andThen(this.httpClient.request(this.address, method, path, body, this.timeoutMs)),
			Effect.option,
			Effect.map((o) => (o._tag === 'Some' ? o.value : null)),
		)
	}

	fetchMachineTypes(): Effect.Effect<MachineType[] | null> {
		return this.call('GET', '/catalog', undefined).pipe(
			Effect.map((a) => (a !== null && a.status === 200 ? parseMachineTypes(a.body) : null)),
		)
	}

	rent(r: RentalRequest): Effect.Effect<RentResult> {
		const body = {
			rental: r.name,
			flavour: r.machineType,
			site: r.zone,
			reclaimable: r.spot,
			howMany: r.count,
		}
		return this.call('POST', '/hosts', body).pipe(
			Effect.map((a): RentResult => {
				if (a === null) return { kind: 'again' }
				if (a.status === 200) {
					const machines = parseMachineIds(a.body)
					return machines === null ? { kind: 'again' } : { kind: 'rented', machineIds: machines }
				}
				if (a.status === 503 && isMap(a.body) && a.body.error === 'no capacity') return { kind: 'none' }
				return a.status === 400 ? { kind: 'invalid' } : { kind: 'again' }
			}),
		)
	}

	/** True when the cloud confirmed that the machines and all on them are gone. */
	release(ids: readonly string[]): Effect.Effect<boolean> {
		return this.call('POST', '/hosts/release', { hosts: ids }).pipe(
			Effect.map((a) => a !== null && a.status === 200),
		)
	}
}

/** In-memory fake of the cloud's API: lists machine types, rents machines and releases them. */
import { isMap, type MachineType } from '@heathroad/wire'
import type { Clock } from './clock.js'
import { type FakeResponse, ok } from './fake-response.js'

/** Fraction of rented machines that never boot. */
const NEVER_BOOTS_SHARE = 0.03
/** Range of the random factor on the machine type's boot time. */
const BOOT_TIME_FACTOR = { min: 0.6, max: 1.5 }

const catalogEntry = (type: MachineType) => ({
	label: type.name,
	cpus: type.cpus,
	gpus: type.gpus,
	ramGb: type.ramGb,
	cacheGb: type.cacheGb,
	fetchGbPerS: type.fetchGbPerS,
	hourly: type.price,
	spotPrice: type.spotPrice,
	bootS: type.bootS,
	sites: type.zones,
})

/** A cloud with a fixed capacity. Rentals are idempotent by name. */
export class FakeCloud {
	/** every request is answered with a 503 */
	down = false
	/** factor on the usual boot time */
	bootFactor = 1
	/** machine ids of each rental, by rental name */
	private readonly rentals = new Map<string, string[]>()
	private machines = 0

	/**
	 * `capacity`: number of free machines by `type/zone/spot`. `boot` is called when a machine is up; `remove` is called
	 * when one is released, and returns its key in `capacity`, or null if it is not up.
	 */
	constructor(
		private readonly clock: Clock,
		readonly types: readonly MachineType[],
		private readonly capacity: Map<string, number>,
		private readonly boot: (id: string, type: MachineType, zone: string, spot: boolean) => void,
		private readonly remove: (id: string) => string | null,
	) {}

	/** Boots machines that no controller has rented. */
	bootInitialMachines(count: number, type: MachineType, zone: string): void {
		for (let booted = 0; booted < count; booted++) this.boot(this.nextId(), type, zone, false)
	}

	/** Handles a request. */
	handle(method: string, path: string, body: unknown): FakeResponse {
		if (this.down) return { status: 503, body: { error: 'trouble' } }
		if (path === '/catalog') return ok({ flavours: this.types.map(catalogEntry) })
		if (method === 'POST' && path === '/hosts' && isMap(body)) return this.rent(body)
		if (path === '/hosts/release' && isMap(body)) return this.release(body.hosts as string[])
		return { status: 400, body: {} }
	}

	private nextId(): string {
		return `i-${String(this.machines++).padStart(6, '0')}`
	}

	private rent(request: Record<string, unknown>): FakeResponse {
		const name = String(request.rental)
		const known = this.rentals.get(name)
		if (known !== undefined) return ok({ hosts: known })
		const offer = `${request.flavour}/${request.site}/${request.reclaimable}`
		const free = this.capacity.get(offer) ?? 0
		if (free <= 0) return { status: 503, body: { error: 'no capacity' } }
		const count = Math.min(free, Number(request.howMany))
		this.capacity.set(offer, free - count)
		const type = this.types.find((candidate) => candidate.name === request.flavour)
		if (type === undefined) throw new Error(`capacity is listed for unknown machine type ${request.flavour}`)
		const hosts: string[] = []
		for (let rented = 0; rented < count; rented++) {
			const id = this.nextId()
			hosts.push(id)
			if (this.clock.random() < NEVER_BOOTS_SHARE) continue
			const factor = this.clock.between(BOOT_TIME_FACTOR.min, BOOT_TIME_FACTOR.max)
			const bootMs = type.bootS * 1000 * this.bootFactor * factor
			const zone = String(request.site)
			this.clock.after(bootMs, () => this.boot(id, type, zone, request.reclaimable === true))
		}
		this.rentals.set(name, hosts)
		return ok({ hosts })
	}

	private release(ids: readonly string[]): FakeResponse {
		for (const id of ids) {
			const offer = this.remove(id)
			if (offer !== null) this.capacity.set(offer, (this.capacity.get(offer) ?? 0) + 1)
		}
		return ok({})
	}
}

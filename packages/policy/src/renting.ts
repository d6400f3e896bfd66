import type { JobSpec, MachineType } from '@heathroad/wire'
import { fits, tasksThatFit } from './placement.js'

/** Something that can be rented: a type in a zone, ordinary or spot. */
export interface InstanceOffer {
	type: MachineType
	zone: string
	spot: boolean
}

export const offerKey = (o: { type: { name: string }; zone: string; spot: boolean }): string =>
	`${o.type.name}/${o.zone}/${o.spot ? 'spot' : 'ordinary'}`

/** Everything that could be rented; each type's zones begin with the one of this number. */
export const allOffers = (types: readonly MachineType[], firstZone = 0): InstanceOffer[] =>
	types.flatMap((type) =>
		type.zones.flatMap((_, i) => {
			const zone = type.zones[(i + firstZone) % type.zones.length]
			return [true, false].map((spot) => ({ type, zone, spot }))
		}),
	)

export const hourlyPrice = (o: { type: MachineType; spot: boolean }): number =>
	o.spot ? o.type.spotPrice : o.type.price

/** Time of a task from the rental request to its end, and its slice of the machine's price for that time. */
export const offerCost = (
	spec: JobSpec,
	runS: number,
	o: { type: MachineType; spot: boolean },
	booted: boolean,
	hasImage: boolean,
): { seconds: number; cost: number } => {
	const fetchS = hasImage ? 0 : spec.imageGb / Math.max(0.01, o.type.fetchGbPerS)
	const seconds = (booted ? 0 : o.type.bootS) + fetchS + runS
	const slots = Math.max(1, tasksThatFit(spec, o.type))
	return { seconds, cost: (seconds * hourlyPrice(o)) / 3600 / slots }
}

/**
 * How much of a new machine's slot one waiting task asks for. Without bounds: its run against boot and run together,
 * since a slot serves several short tasks in the time that renting takes. A bound by which the job's tasks have to
 * start (`bounds`, as ages of the job) asks for more where a slot could not serve so many of them in time.
 */
export const scaleOutWeight = (
	runS: number,
	bootS: number,
	ageS = 0,
	bounds: readonly number[] = [],
): number => {
	const run = Math.max(0.1, runS)
	const plain = run / (run + bootS)
	const left = Math.min(...bounds.filter((b) => b >= ageS + bootS)) - ageS - bootS
	return Number.isFinite(left) ? Math.max(plain, 1 / (1 + left / run)) : plain
}

/** The offer for a batch: fastest within the share, near-ties by price; else the cheapest (design, "ours"). */
export const chooseOffer = (
	spec: JobSpec,
	runS: number,
	share: number,
	offers: readonly InstanceOffer[],
): InstanceOffer | undefined => {
	const rated = offers
		.filter((offer) => fits(spec, offer.type))
		.map((offer) => ({ o: offer, ...offerCost(spec, runS, offer, false, false) }))
	if (rated.length === 0) return undefined
	const within = rated.filter((r) => r.cost <= share * (1 + 1e-6))
	const cheapest = (list: typeof rated) => list.reduce((a, b) => (b.cost < a.cost ? b : a))
	if (within.length === 0) return cheapest(rated).o
	const quick = Math.min(...within.map((r) => r.seconds))
	return cheapest(within.filter((r) => r.seconds <= quick * 1.1)).o
}

/** Scale out: the offers of the cloud, what a task costs on them, and which one to rent. */
import type { JobSpec, MachineType } from '@heathroad/wire'
import { fits, tasksThatFit } from './resources.js'
import { SHARE_TOLERANCE } from './tolerances.js'

/** Something that can be rented: a machine type in a zone, ordinary or spot. */
export interface InstanceOffer {
	type: MachineType
	zone: string
	spot: boolean
}

/** Name of an offer, as map key and in logs: `type/zone/spot` or `type/zone/ordinary`. */
export const offerKey = (offer: { type: { name: string }; zone: string; spot: boolean }): string =>
	`${offer.type.name}/${offer.zone}/${offer.spot ? 'spot' : 'ordinary'}`

/** All offers of the catalog; the zones of each type begin with the one of index `firstZone`. */
export const allOffers = (types: readonly MachineType[], firstZone = 0): InstanceOffer[] =>
	types.flatMap((type) =>
		type.zones.flatMap((_, index) => {
			const zone = type.zones[(index + firstZone) % type.zones.length]
			return [true, false].map((spot) => ({ type, zone, spot }))
		}),
	)

/** Price of an offer an hour. */
export const hourlyPrice = (offer: { type: MachineType; spot: boolean }): number =>
	offer.spot ? offer.type.spotPrice : offer.type.price

/** Lower bound of the rate at which images are fetched: it divides. */
const MIN_FETCH_GB_PER_S = 0.01
const SECONDS_PER_HOUR = 3600

/**
 * Time of a task on an offer from the rental request to its end, and its part of the machine's price for that time. On a
 * `booted` machine the boot time is not counted, with the image (`hasImage`) neither is its fetch.
 */
export const offerCost = (
	spec: JobSpec,
	runS: number,
	offer: { type: MachineType; spot: boolean },
	booted: boolean,
	hasImage: boolean,
): { seconds: number; cost: number } => {
	const fetchS = hasImage ? 0 : spec.imageGb / Math.max(MIN_FETCH_GB_PER_S, offer.type.fetchGbPerS)
	const bootS = booted ? 0 : offer.type.bootS
	const seconds = bootS + fetchS + runS
	const slots = Math.max(1, tasksThatFit(spec, offer.type))
	return { seconds, cost: (seconds * hourlyPrice(offer)) / SECONDS_PER_HOUR / slots }
}

/** Lower bound of a run time in `scaleOutWeight`: it divides. */
const MIN_RUN_S = 0.1

/**
 * The fraction of a new machine's slot that one waiting task asks for. Without bounds: its run against boot and run
 * together, since a slot serves several short tasks in the time that renting takes. A bound by which the job's tasks have
 * to start (`bounds`, as ages of the job in seconds) asks for more where a slot could not serve so many of them in time.
 */
export const scaleOutWeight = (
	runS: number,
	bootS: number,
	ageS = 0,
	bounds: readonly number[] = [],
): number => {
	const boundedRunS = Math.max(MIN_RUN_S, runS)
	const weight = boundedRunS / (boundedRunS + bootS)
	const reachableBounds = bounds.filter((bound) => bound >= ageS + bootS)
	const timeLeftS = Math.min(...reachableBounds) - ageS - bootS
	if (!Number.isFinite(timeLeftS)) return weight
	return Math.max(weight, 1 / (1 + timeLeftS / boundedRunS))
}

interface RatedOffer {
	offer: InstanceOffer
	seconds: number
	cost: number
}

/** Offers that take at most this multiple of the fastest time count as equally fast. */
const NEAR_TIE = 1.1

const cheapest = (offers: readonly RatedOffer[]): InstanceOffer =>
	offers.reduce((best, rated) => (rated.cost < best.cost ? rated : best)).offer

/**
 * The offer to rent for a batch of tasks: the fastest within the share, among nearly equally fast ones the cheapest; if
 * none is within the share, the cheapest of all (docs/design.md); undefined: the task fits on none.
 */
export const chooseOffer = (
	spec: JobSpec,
	runS: number,
	share: number,
	offers: readonly InstanceOffer[],
): InstanceOffer | undefined => {
	const rated: RatedOffer[] = offers
		.filter((offer) => fits(spec, offer.type))
		.map((offer) => ({ offer, ...offerCost(spec, runS, offer, false, false) }))
	if (rated.length === 0) return undefined
	const withinShare = rated.filter(({ cost }) => cost <= share * SHARE_TOLERANCE)
	if (withinShare.length === 0) return cheapest(rated)
	const fastestSeconds = Math.min(...withinShare.map(({ seconds }) => seconds))
	return cheapest(withinShare.filter(({ seconds }) => seconds <= fastestSeconds * NEAR_TIE))
}

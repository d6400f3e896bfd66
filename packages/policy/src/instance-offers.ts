/** Scale out: the cloud's instance offers, the cost of a task on each of them, and which one to rent. */
import type { JobSpec, MachineType } from '@heathroad/wire'
import { fits, tasksThatFit } from './resources.js'
import { SHARE_TOLERANCE } from './tolerances.js'

/** A machine type in a zone, ordinary or spot, that the cloud offers for rent. */
export interface InstanceOffer {
	type: MachineType
	zone: string
	spot: boolean
}

/** Name of an offer, used as map key and in logs: `type/zone/spot` or `type/zone/ordinary`. */
export const offerKey = (offer: { type: { name: string }; zone: string; spot: boolean }): string =>
	`${offer.type.name}/${offer.zone}/${offer.spot ? 'spot' : 'ordinary'}`

/** All offers of the catalog; the zones of each type are rotated so that index `firstZoneIndex` comes first. */
export const allOffers = (types: readonly MachineType[], firstZoneIndex = 0): InstanceOffer[] =>
	types.flatMap((type) =>
		type.zones.flatMap((_, index) => {
			const zone = type.zones[(index + firstZoneIndex) % type.zones.length]
			return [true, false].map((spot) => ({ type, zone, spot }))
		}),
	)

/** Hourly price of an offer. */
export const hourlyPrice = (offer: { type: MachineType; spot: boolean }): number =>
	offer.spot ? offer.type.spotPrice : offer.type.price

/** Lower bound of the image fetch rate, in GB/s: avoids a division by zero. */
const MIN_FETCH_GB_PER_S = 0.01
const SECONDS_PER_HOUR = 3600

/**
 * Seconds from the rental request until a task on an offer finishes, and the task's share of the machine's price for
 * that time. Leaves out the boot time on a `booted` machine, and the image fetch if it has the image (`hasImage`).
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

/** Lower bound of the run time in `scaleOutWeight`, in seconds: avoids a division by zero. */
const MIN_RUN_S = 0.1

/**
 * The fraction of a new machine's slot to rent for one waiting task. Without start deadlines it is the run time divided
 * by boot plus run time, since a slot serves several short tasks in the time that renting takes. A start deadline
 * (`startDeadlines`, as ages of the job in seconds) raises it where one slot could not serve that many tasks in time.
 */
export const scaleOutWeight = (
	runS: number,
	bootS: number,
	ageS = 0,
	startDeadlines: readonly number[] = [],
): number => {
	const boundedRunS = Math.max(MIN_RUN_S, runS)
	const weight = boundedRunS / (boundedRunS + bootS)
	const reachableDeadlines = startDeadlines.filter((deadline) => deadline >= ageS + bootS)
	const timeLeftS = Math.min(...reachableDeadlines) - ageS - bootS
	if (!Number.isFinite(timeLeftS)) return weight
	return Math.max(weight, 1 / (1 + timeLeftS / boundedRunS))
}

interface RatedOffer {
	offer: InstanceOffer
	seconds: number
	cost: number
}

/** Offers that take up to this multiple of the fastest time count as equally fast. */
const NEAR_TIE_FACTOR = 1.1

const cheapest = (offers: readonly RatedOffer[]): InstanceOffer =>
	offers.reduce((best, rated) => (rated.cost < best.cost ? rated : best)).offer

/**
 * The offer to rent for a batch of tasks: among those within the share, the cheapest of the nearly fastest; if none is
 * within the share, the cheapest of all (docs/design.md). Undefined if the task fits no offer.
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
	return cheapest(withinShare.filter(({ seconds }) => seconds <= fastestSeconds * NEAR_TIE_FACTOR))
}

/**
 * Messages of the cloud API: catalog (`GET /catalog`), rental (`POST /hosts`) and release (`POST /hosts/release`). On
 * the wire a machine type is a `flavour`, a zone a `site`, a spot machine `reclaimable` and a machine a `host`.
 */
import { isMap } from './codec.js'

/** A machine type of the catalog. */
export interface MachineType {
	name: string
	cpus: number
	gpus: number
	ramGb: number
	/** size of the image cache, in GB */
	cacheGb: number
	/** rate at which images are fetched, in GB per second */
	fetchGbPerS: number
	/** price per hour of a regular (non-spot) machine */
	price: number
	/** price per hour of a spot machine */
	spotPrice: number
	/** time from the rental to the first heartbeat, in seconds */
	bootS: number
	/** zones that offer the type */
	zones: string[]
}

/** Defaults for types whose catalog entry lacks the value, in GB per second and in seconds. */
const DEFAULT_FETCH_GB_PER_S = 0.1
const DEFAULT_BOOT_S = 60

const nonNegativeOr = (value: unknown, fallback: number): number =>
	typeof value === 'number' && value >= 0 ? value : fallback

const parseMachineType = (entry: unknown): MachineType | null => {
	if (!isMap(entry) || typeof entry.label !== 'string' || !Array.isArray(entry.sites)) return null
	const price = nonNegativeOr(entry.hourly, 0)
	return {
		name: entry.label,
		cpus: nonNegativeOr(entry.cpus, 0),
		gpus: nonNegativeOr(entry.gpus, 0),
		ramGb: nonNegativeOr(entry.ramGb, 0),
		cacheGb: nonNegativeOr(entry.cacheGb, 0),
		fetchGbPerS: nonNegativeOr(entry.fetchGbPerS, DEFAULT_FETCH_GB_PER_S),
		price,
		spotPrice: nonNegativeOr(entry.spotPrice, price),
		bootS: nonNegativeOr(entry.bootS, DEFAULT_BOOT_S),
		zones: entry.sites.filter((zone): zone is string => typeof zone === 'string'),
	}
}

/** Parses the catalog; null: it is malformed. */
export const parseMachineTypes = (body: unknown): MachineType[] | null => {
	if (!isMap(body) || !Array.isArray(body.flavours)) return null
	const types: MachineType[] = []
	for (const entry of body.flavours) {
		const type = parseMachineType(entry)
		if (type === null) return null
		types.push(type)
	}
	return types
}

/** A request to rent machines of one type. The `name` makes it idempotent: sent again, it is the same rental. */
export interface RentalRequest {
	name: string
	machineType: string
	zone: string
	spot: boolean
	count: number
}

/** Encodes the body of a rental request. */
export const encodeRentalRequest = (rental: RentalRequest): Record<string, unknown> => ({
	rental: rental.name,
	flavour: rental.machineType,
	site: rental.zone,
	reclaimable: rental.spot,
	howMany: rental.count,
})

/** Encodes the body of a request that releases machines to the cloud. */
export const encodeReleaseRequest = (machineIds: readonly string[]): Record<string, unknown> => ({
	hosts: machineIds,
})

/** Parses the ids of rented machines; null: the response is malformed. */
export const parseMachineIds = (body: unknown): string[] | null => {
	if (!isMap(body) || !Array.isArray(body.hosts)) return null
	return body.hosts.filter((id): id is string => typeof id === 'string')
}

/** Returns whether an error response says that the cloud has no machine of the requested type. */
export const isNoCapacity = (body: unknown): boolean => isMap(body) && body.error === 'no capacity'

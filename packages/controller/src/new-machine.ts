/** Initial state of machines read from a machine group's record. */
import type { MachineGroupRecord } from '@heathroad/cluster'
import type { MachineType } from '@heathroad/wire'
import type { Machine } from './model.js'

/** The record in which a machine was found, and when. */
export interface MachineOrigin {
	groupName: string
	record: MachineGroupRecord
	type: MachineType
	fencingToken: number
	/** monotonic time in ms */
	now: number
	/** when this controller received the record, monotonic time in ms */
	recordedAt: number
}

/** Returns a machine without attempts. One with a recorded address has booted, and may hold tasks of a former owner. */
export const newMachine = (
	id: string,
	{ groupName, record, type, fencingToken, now, recordedAt }: MachineOrigin,
): Machine => {
	const address = record.addresses[id] ?? null
	return {
		id,
		type,
		zone: record.zone,
		spot: record.spot,
		address,
		fencingToken,
		groupName,
		addressRecorded: address !== null,
		heartbeatReceived: false,
		reconciled: address === null,
		booted: address !== null,
		agentEpoch: 0,
		heartbeatSequence: 0,
		lastHeartbeatAt: now,
		discoveredAt: recordedAt,
		attempts: new Map(),
		cachedImages: new Map(),
		preemptionDeadline: null,
		drainReason: null,
		releasing: false,
		retryReleaseAt: 0,
		idleSince: null,
		cordonedUntil: 0,
		reservedFor: null,
		failuresByJob: new Map(),
		probing: false,
		freeResources: { cpus: 0, gpus: 0, ramGb: 0 },
	}
}

/** Bandwidth of a machine type that is not in the catalog, in GB/s. */
const UNKNOWN_TYPE_FETCH_GB_PER_S = 0.1

/** Placeholder for a type that is not in the catalog (yet): it takes no new tasks; running tasks are still managed. */
export const unknownMachineType = (name: string, bootS: number): MachineType => ({
	name,
	cpus: 0,
	gpus: 0,
	ramGb: 0,
	cacheGb: 0,
	fetchGbPerS: UNKNOWN_TYPE_FETCH_GB_PER_S,
	price: 0,
	spotPrice: 0,
	bootS,
	zones: [],
})

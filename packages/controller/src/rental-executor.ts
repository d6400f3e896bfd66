/** Executes rentals: records the intent, calls the cloud and records the result. */
import type { RentalRequest, RentResult } from '@heathroad/cloud'
import { encodeMachineGroup, type MachineGroupRecord, machineGroupKey } from '@heathroad/cluster'
import { type InstanceOffer, offerKey } from '@heathroad/policy'
import { KEY_PREFIX, WritePriority, type WriteResult } from '@heathroad/store'
import type { MachineGroupWriter } from './machine-group-writer.js'
import type { PendingRental } from './spare-capacity.js'
import type { ShardState } from './state.js'

/** Backoff after the first refusal of an offer, as a share of its boot time. */
const INITIAL_REFUSAL_BACKOFF_IN_BOOTS = 0.25

/** Maximum backoff after consecutive refusals, in boot times: capacity that returns is found in time. */
const MAX_REFUSAL_BACKOFF_IN_BOOTS = 2

/**
 * Rents machines. The intent is durable before the cloud is called, and the cloud returns the same result for the same
 * name, so each rental takes effect once, whichever owner executes it.
 */
export class RentalExecutor {
	private rentalCounter = 0
	private intentWriteCount = 0
	private readonly rentalsByName = new Map<string, PendingRental>()

	constructor(
		private readonly state: ShardState,
		private readonly machineGroups: MachineGroupWriter,
	) {}

	/** Rentals by name, from the intent until their machines are recorded. */
	get pending(): ReadonlyMap<string, PendingRental> {
		return this.rentalsByName
	}

	/** Number of rentals whose intent is being written: each will use a cloud call. */
	get unwrittenCount(): number {
		return this.intentWriteCount
	}

	/** Records the intent of a rental, then executes it. */
	start({ offer, count }: PendingRental): void {
		const name = `r${this.state.shardId}-${this.state.fencingToken}-${++this.rentalCounter}`
		const record: MachineGroupRecord = {
			shardId: this.state.shardId,
			machineType: offer.type.name,
			zone: offer.zone,
			spot: offer.spot,
			requestedCount: count,
			addresses: {},
		}
		this.rentalsByName.set(name, { offer, count })
		this.intentWriteCount++
		this.state.dependencies.log('info', 'scale-out requested', {
			rental: name,
			offer: offerKey(offer),
			count,
		})
		const key = KEY_PREFIX + machineGroupKey(name)
		const data = encodeMachineGroup(record)
		this.state.enqueueOwnedWrite(
			WritePriority.rental,
			[{ key, modRevision: 0 }],
			[{ set: key, data }],
			(result) => this.onIntentWritten(name, record, data, result),
		)
	}

	/** Executes a recorded intent, also one of a former owner: the cloud returns the same result for the same name. */
	rentRecordedGroup(name: string, record: MachineGroupRecord): void {
		if (this.state.stopped) return
		if (!this.rentalsByName.has(name)) this.rentalsByName.set(name, this.toPendingRental(record))
		const request: RentalRequest = {
			name,
			machineType: record.machineType,
			zone: record.zone,
			spot: record.spot,
			count: record.requestedCount,
		}
		this.state.dependencies.rent(request, (result) => this.onRentalAnswered(name, record, result))
	}

	/** Handles a changed machine group: its rental has a result, or its intent was applied late and is executed now. */
	onGroupRecorded(name: string, record: MachineGroupRecord): void {
		if (record.requestedCount === 0) this.rentalsByName.delete(name)
		else if (!this.rentalsByName.has(name)) this.rentRecordedGroup(name, record)
	}

	/** Handles a removed machine group: machines that its rental may still return are unregistered and will be adopted. */
	onGroupRemoved(name: string): void {
		this.rentalsByName.delete(name)
	}

	private toPendingRental(record: MachineGroupRecord): PendingRental {
		const type = this.state.machineTypeNamed(record.machineType)
		return { offer: { type, zone: record.zone, spot: record.spot }, count: record.requestedCount }
	}

	private onIntentWritten(
		name: string,
		record: MachineGroupRecord,
		data: unknown,
		result: WriteResult,
	): void {
		this.intentWriteCount--
		if (result.kind === 'ok') {
			this.state.dependencies.applyOwnWrite(machineGroupKey(name), data, result.revision)
			this.rentRecordedGroup(name, record)
		} else if (result.kind === 'unknown') this.resolveUnknownIntent(name, record)
		else this.rentalsByName.delete(name)
	}

	/** Executes the rental if the intent was in fact applied: its record must not stay open. */
	private resolveUnknownIntent(name: string, record: MachineGroupRecord): void {
		this.state.dependencies.refreshCache(() => {
			if (this.state.dependencies.entry(machineGroupKey(name)) !== undefined)
				this.rentRecordedGroup(name, record)
			else this.rentalsByName.delete(name)
		})
	}

	private onRentalAnswered(name: string, record: MachineGroupRecord, result: RentResult): void {
		if (this.state.stopped) return
		if (result.kind === 'again') {
			// A rental that is no longer pending has a result from another call, or its record was removed.
			if (this.rentalsByName.has(name)) this.rentRecordedGroup(name, record)
			return
		}
		const machineIds = result.kind === 'rented' ? result.machineIds : []
		const { offer } = this.rentalsByName.get(name) ?? this.toPendingRental(record)
		this.state.dependencies.log('info', 'scale-out answered', {
			rental: name,
			offer: offerKey(offer),
			got: machineIds.length,
			result: result.kind,
		})
		this.recordAvailability(offer, machineIds.length, record.requestedCount)
		this.machineGroups.recordRentalResult(name, machineIds)
		// The rental stays pending until its machines are in their group's record and count as machines.
		if (machineIds.length === 0) this.rentalsByName.delete(name)
	}

	/** Records whether the offer's capacity is exhausted: it is if fewer machines than requested were rented. */
	private recordAvailability(offer: InstanceOffer, rentedCount: number, requestedCount: number): void {
		const { offerAvailability } = this.state.dependencies
		if (rentedCount >= requestedCount) {
			offerAvailability.recordSuccess(offerKey(offer))
			return
		}
		const bootMs = offer.type.bootS * 1000
		offerAvailability.recordRefusal(offerKey(offer), this.state.dependencies.now(), {
			initialBackoffMs: bootMs * INITIAL_REFUSAL_BACKOFF_IN_BOOTS,
			maxBackoffMs: bootMs * MAX_REFUSAL_BACKOFF_IN_BOOTS,
			isPartlyFilled: rentedCount > 0,
		})
	}
}

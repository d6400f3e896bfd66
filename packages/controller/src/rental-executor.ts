/** Rental execution: records the intent of a rental, carries it out and records its answer. */
import type { RentalRequest, RentResult } from '@heathroad/cloud'
import { encodeMachineGroup, type MachineGroupRecord, machineGroupKey } from '@heathroad/cluster'
import { type InstanceOffer, offerKey } from '@heathroad/policy'
import { KEY_PREFIX, WritePriority, type WriteResult } from '@heathroad/store'
import type { MachineGroupWriter } from './machine-group-writer.js'
import type { PendingRental } from './spare-capacity.js'
import type { ShardState } from './state.js'

/** After a refusal the offer is not asked for again for this share of its boot time, at first. */
const FIRST_REFUSAL_PAUSE_IN_BOOTS = 0.25

/** Refusals in a row lengthen the pause up to this many boot times: capacity that came back is found in time. */
const MAX_REFUSAL_PAUSE_IN_BOOTS = 2

/**
 * Rents machines. A rental's intent is durable before the cloud is asked, and the same name gets the same answer: so a
 * rental is carried out once, whoever carries it out.
 */
export class RentalExecutor {
	private rentalCounter = 0
	private intentWriteCount = 0
	private readonly rentalsByName = new Map<string, PendingRental>()

	constructor(
		private readonly state: ShardState,
		private readonly machineGroups: MachineGroupWriter,
	) {}

	/** Rentals by name from their intent until their machines are recorded. */
	get pending(): ReadonlyMap<string, PendingRental> {
		return this.rentalsByName
	}

	/** Rentals whose intent is being written: each is about to use a call to the cloud. */
	get unwrittenCount(): number {
		return this.intentWriteCount
	}

	/** Records the intent of a rental, then carries it out. */
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

	/** Carries out a recorded intent, also one of a former owner: the same name gets the same answer. */
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

	/** A machine group of this shard changed: its rental is answered, or its intent was written late and is carried out. */
	onGroupRecorded(name: string, record: MachineGroupRecord): void {
		if (record.requestedCount === 0) this.rentalsByName.delete(name)
		else if (!this.rentalsByName.has(name)) this.rentRecordedGroup(name, record)
	}

	/** A machine group of this shard was removed: machines that its rental may still bring have no record, and are adopted. */
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

	/** If the intent was applied after all, the rental is carried out: its record must not stay open. */
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
			// A rental that is not pending any more was answered otherwise, or its record was removed.
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
		// Rented machines are counted as machines once their group has them; until then the rental stays pending.
		if (machineIds.length === 0) this.rentalsByName.delete(name)
	}

	/** Fewer machines than requested mean that the offer's capacity is exhausted. */
	private recordAvailability(offer: InstanceOffer, rentedCount: number, requestedCount: number): void {
		const { offerAvailability } = this.state.dependencies
		if (rentedCount >= requestedCount) {
			offerAvailability.recordSuccess(offerKey(offer))
			return
		}
		const bootMs = offer.type.bootS * 1000
		offerAvailability.recordRefusal(offerKey(offer), this.state.dependencies.now(), {
			firstPauseMs: bootMs * FIRST_REFUSAL_PAUSE_IN_BOOTS,
			maxPauseMs: bootMs * MAX_REFUSAL_PAUSE_IN_BOOTS,
			isPartlyFilled: rentedCount > 0,
		})
	}
}

/** Writes machine group records, which list a shard's machines and their addresses. */
import {
	decodeMachineGroup,
	encodeMachineGroup,
	type MachineGroupRecord,
	machineGroupKey,
} from '@heathroad/cluster'
import {
	KEY_PREFIX,
	type QueuedWrite,
	type TransactionContent,
	WritePriority,
	type WriteResult,
} from '@heathroad/store'
import type { ShardState } from './state.js'

/** Changes to one machine group that are not durable yet. */
interface PendingChanges {
	/** by machine id; a machine may receive start commands once its address is durable */
	addresses: Map<string, string>
	/** machines that are confirmed gone */
	removedMachineIds: Set<string>
	/** machines that the cloud returned for the rental; null: no response yet */
	rentedMachineIds: readonly string[] | null
	/** the write, queued or in flight, that includes these changes */
	write: QueuedWrite | null
}

/** Mutation of a machine group's record that the pending changes require. */
type PlannedChange =
	| { kind: 'none' }
	| { kind: 'delete'; modRevision: number }
	| { kind: 'set'; modRevision: number; data: unknown }

/** Applies the changes that the record lacks; returns null if it lacks none. */
const applyChanges = (record: MachineGroupRecord, changes: PendingChanges): MachineGroupRecord | null => {
	const addresses = { ...record.addresses }
	let isChanged = false
	if (changes.rentedMachineIds !== null && record.requestedCount > 0) {
		isChanged = true
		for (const machineId of changes.rentedMachineIds) addresses[machineId] = null
	}
	for (const [machineId, address] of changes.addresses)
		if (addresses[machineId] === null) {
			addresses[machineId] = address
			isChanged = true
		}
	for (const machineId of changes.removedMachineIds)
		if (addresses[machineId] !== undefined) {
			delete addresses[machineId]
			isChanged = true
		}
	if (!isChanged) return null
	const requestedCount = changes.rentedMachineIds === null ? record.requestedCount : 0
	return { ...record, requestedCount, addresses }
}

/** A group can be deleted once its rental has a result and it has no machines. */
const isEmptyGroup = (record: MachineGroupRecord): boolean =>
	record.requestedCount === 0 && Object.keys(record.addresses).length === 0

/**
 * Writes the machine groups of one shard. Changes to a group while a write of it is queued are merged into that write,
 * so the number of writes depends on the number of groups, not of machines.
 */
export class MachineGroupWriter {
	private readonly changesByGroup = new Map<string, PendingChanges>()

	constructor(private readonly state: ShardState) {}

	/** Records a machine's address. The machine may receive start commands once the record's change is delivered. */
	recordAddress(groupName: string, machineId: string, address: string): void {
		this.changesOf(groupName).addresses.set(machineId, address)
		this.flush(groupName, WritePriority.outcome)
	}

	/** Removes a machine that is confirmed gone. Until this is durable, a new owner of the shard waits for the machine. */
	removeMachine(groupName: string, machineId: string): void {
		this.changesOf(groupName).removedMachineIds.add(machineId)
		this.flush(groupName, WritePriority.outcome)
	}

	/** Records the machines that a rental returned; deletes the group if there are none. */
	recordRentalResult(groupName: string, machineIds: readonly string[]): void {
		this.changesOf(groupName).rentedMachineIds = machineIds
		this.flush(groupName, WritePriority.rental)
	}

	private changesOf(groupName: string): PendingChanges {
		const existing = this.changesByGroup.get(groupName)
		if (existing !== undefined) return existing
		const changes: PendingChanges = {
			addresses: new Map(),
			removedMachineIds: new Set(),
			rentedMachineIds: null,
			write: null,
		}
		this.changesByGroup.set(groupName, changes)
		return changes
	}

	/** Plans the change to the group's current record; `none` also if the record no longer belongs to this shard. */
	private planChange(groupName: string): PlannedChange {
		const changes = this.changesOf(groupName)
		const entry = this.state.dependencies.entry(machineGroupKey(groupName))
		const record = decodeMachineGroup(entry?.data)
		if (entry === undefined || record === null || record.shardId !== this.state.shardId)
			return { kind: 'none' }
		const changed = applyChanges(record, changes)
		if (changed === null) return { kind: 'none' }
		const { modRevision } = entry
		if (isEmptyGroup(changed)) return { kind: 'delete', modRevision }
		return { kind: 'set', modRevision, data: encodeMachineGroup(changed) }
	}

	/** Enqueues a write of the group's changes, or raises the priority of the write in the queue. */
	private flush(groupName: string, priority: number): void {
		const changes = this.changesOf(groupName)
		if (changes.write !== null) {
			this.state.dependencies.raisePriority(changes.write, priority)
			return
		}
		let planned: PlannedChange = { kind: 'none' }
		changes.write = this.state.dependencies.enqueueWrite({
			priority,
			build: () => {
				planned = this.state.stopped ? { kind: 'none' } : this.planChange(groupName)
				return this.toTransaction(groupName, planned)
			},
			onResult: (result) => {
				changes.write = null
				if (!this.state.stopped) this.onWritten(groupName, changes, planned, result)
			},
		})
	}

	private toTransaction(groupName: string, planned: PlannedChange): TransactionContent | null {
		if (planned.kind === 'none') return null
		const key = KEY_PREFIX + machineGroupKey(groupName)
		return {
			conditions: [this.state.ownershipCondition(), { key, modRevision: planned.modRevision }],
			mutations: [planned.kind === 'delete' ? { delete: key } : { set: key, data: planned.data }],
		}
	}

	private onWritten(
		groupName: string,
		changes: PendingChanges,
		planned: PlannedChange,
		result: WriteResult,
	): void {
		const flushRemaining = () => this.flushRemaining(groupName, changes)
		if (result.kind === 'ok') {
			// The watch delivers the deletion: the watch cache may still have to receive older changes to the key.
			if (planned.kind !== 'set') {
				this.changesByGroup.delete(groupName)
				return
			}
			this.state.dependencies.applyOwnWrite(machineGroupKey(groupName), planned.data, result.revision)
			flushRemaining()
		} else if (result.kind === 'refused') flushRemaining()
		else this.state.dependencies.refreshCache(flushRemaining)
	}

	/** Writes changes that were added meanwhile or not applied; drops the entry if there are none. */
	private flushRemaining(groupName: string, changes: PendingChanges): void {
		if (this.state.stopped || changes.write !== null) return
		if (this.planChange(groupName).kind === 'none') this.changesByGroup.delete(groupName)
		else if (changes.rentedMachineIds !== null) this.flush(groupName, WritePriority.rental)
		else this.flush(groupName, WritePriority.outcome)
	}
}

/** An index of recorded machines by the group that holds them. */
import { decodeMachineGroup, type MachineGroupRecord } from './records.js'

/** Where every recorded machine belongs, kept up to date from the machine groups of all shards. */
export class MachineGroups {
	/** Machine -> name of its group. */
	private readonly groupNames = new Map<string, string>()
	/** Groups by name. */
	readonly records = new Map<string, MachineGroupRecord>()

	/** A group's record changed; data that is no record: it was deleted. */
	onRecordChanged(name: string, data: unknown): void {
		const before = this.records.get(name)
		const record = decodeMachineGroup(data)
		if (record === null) this.records.delete(name)
		else this.records.set(name, record)
		for (const machineId of Object.keys(before?.addresses ?? {})) {
			if (record?.addresses[machineId] !== undefined) continue
			// The new group of a machine that moved may have been seen first.
			if (this.groupNames.get(machineId) === name) this.groupNames.delete(machineId)
		}
		for (const machineId of Object.keys(record?.addresses ?? {})) this.groupNames.set(machineId, name)
	}

	/** The group that holds a machine. */
	groupOf(machineId: string): MachineGroupRecord | undefined {
		const name = this.groupNames.get(machineId)
		return name === undefined ? undefined : this.records.get(name)
	}

	/** Is a rental in flight whose answer may hold a machine like this one? */
	hasPendingRental(machine: { machineType: string; zone: string; spot: boolean }): boolean {
		for (const group of this.records.values()) {
			const mayHoldMachine =
				group.requestedCount > 0 &&
				group.machineType === machine.machineType &&
				group.zone === machine.zone &&
				group.spot === machine.spot
			if (mayHoldMachine) return true
		}
		return false
	}
}

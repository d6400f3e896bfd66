/** Index of the recorded machines and their machine groups. */
import { decodeMachineGroup, type MachineGroupRecord } from './records.js'

/** Maps every recorded machine to its group; covers the machine groups of all shards. */
export class MachineGroups {
	/** Machine -> name of its group. */
	private readonly groupNames = new Map<string, string>()
	/** Groups by name. */
	readonly records = new Map<string, MachineGroupRecord>()

	/** Must be called when a group's record changes; data that can't be decoded counts as a deletion. */
	onRecordChanged(name: string, data: unknown): void {
		const previous = this.records.get(name)
		const record = decodeMachineGroup(data)
		if (record === null) this.records.delete(name)
		else this.records.set(name, record)
		for (const machineId of Object.keys(previous?.addresses ?? {})) {
			if (record?.addresses[machineId] !== undefined) continue
			// If the machine moved, its new group may have been processed first.
			if (this.groupNames.get(machineId) === name) this.groupNames.delete(machineId)
		}
		for (const machineId of Object.keys(record?.addresses ?? {})) this.groupNames.set(machineId, name)
	}

	/** The group that contains the machine. */
	groupOf(machineId: string): MachineGroupRecord | undefined {
		const name = this.groupNames.get(machineId)
		return name === undefined ? undefined : this.records.get(name)
	}

	/** Whether a rental is in flight whose response may contain a machine of this type, zone and spot setting. */
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

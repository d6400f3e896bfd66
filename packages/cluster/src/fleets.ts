import { decodeMachineGroup, type MachineGroupRecord } from './records.js'

/** Where every recorded machine belongs, kept up to date from the fleet records of all parts. */
export class MachineGroups {
	private readonly groupNames = new Map<string, string>()
	readonly records = new Map<string, MachineGroupRecord>()

	/** A record changed; null: it is gone. */
	onRecordChanged(name: string, data: unknown): void {
		const before = this.records.get(name)
		const record = decodeMachineGroup(data)
		if (record === null) this.records.delete(name)
		else this.records.set(name, record)
		// A machine that moved may have been seen in its new record first.
		for (const id of Object.keys(before?.addresses ?? {}))
			if (record?.addresses[id] === undefined && this.groupNames.get(id) === name) this.groupNames.delete(id)
		for (const id of Object.keys(record?.addresses ?? {})) this.groupNames.set(id, name)
	}

	/** The record that holds a machine. */
	groupOf(id: string): MachineGroupRecord | undefined {
		const name = this.groupNames.get(id)
		return name === undefined ? undefined : this.records.get(name)
	}

	/** Is a rental under way whose answer could hold a machine like this one? */
	hasPendingRental(m: { machineType: string; zone: string; spot: boolean }): boolean {
		for (const r of this.records.values())
			if (r.requestedCount > 0 && r.machineType === m.machineType && r.zone === m.zone && r.spot === m.spot)
				return true
		return false
	}
}

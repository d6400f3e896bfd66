import {
	decodeMachineGroup,
	encodeMachineGroup,
	type MachineGroupRecord,
	machineGroupKey,
} from '@heathroad/cluster'
import { KEY_PREFIX, type QueuedWrite, type TransactionContent, WritePriority } from '@heathroad/store'
import type { ShardState } from './state.js'

/** What is asked of one record and not durable yet. */
interface Pending {
	/** machine -> address: it may get start commands from when this is written */
	used: Map<string, string>
	/** machines that are gone for certain */
	gone: Set<string>
	/** the answer to the rental */
	answer: readonly string[] | null
	write: QueuedWrite | null
}

/**
 * The records of a part's machines. Whatever is asked of one record while a write of it waits goes out with that
 * write: the changes per second follow the number of records, not of machines.
 */
export class MachineGroupWriter {
	private readonly pending = new Map<string, Pending>()

	constructor(private readonly state: ShardState) {}

	/** May get start commands once this is durable; then the record's change tells the part. */
	recordAddress(name: string, id: string, address: string): void {
		this.of(name).used.set(id, address)
		this.flush(name, WritePriority.outcome)
	}

	removeMachine(name: string, id: string): void {
		this.of(name).gone.add(id)
		this.flush(name, WritePriority.progress)
	}

	/** The rental's machines are recorded, or the record goes if there are none. */
	recordRentalResult(name: string, ids: readonly string[]): void {
		this.of(name).answer = ids
		this.flush(name, WritePriority.rental)
	}

	private of(name: string): Pending {
		const known = this.pending.get(name)
		if (known !== undefined) return known
		const fresh: Pending = { used: new Map(), gone: new Set(), answer: null, write: null }
		this.pending.set(name, fresh)
		return fresh
	}

	/** The record as it is and as it should be; null if there is nothing to write. */
	private wanted(name: string): { modRevision: number; record: MachineGroupRecord | null } | null {
		const p = this.of(name)
		const entry = this.state.ports.entry(machineGroupKey(name))
		const record = decodeMachineGroup(entry?.data)
		if (entry === undefined || record === null || record.shardId !== this.state.shardId) return null
		const hosts = { ...record.addresses }
		let changed = false
		if (p.answer !== null && record.requestedCount > 0) {
			changed = true
			for (const id of p.answer) hosts[id] = null
		}
		for (const [id, address] of p.used)
			if (hosts[id] === null) {
				hosts[id] = address
				changed = true
			}
		for (const id of p.gone)
			if (hosts[id] !== undefined) {
				delete hosts[id]
				changed = true
			}
		if (!changed) return null
		const asked = p.answer === null ? record.requestedCount : 0
		if (asked === 0 && Object.keys(hosts).length === 0)
			return { modRevision: entry.modRevision, record: null }
		return { modRevision: entry.modRevision, record: { ...record, requestedCount: asked, addresses: hosts } }
	}

	private flush(name: string, priority: number): void {
		const p = this.of(name)
		if (p.write !== null) return this.state.ports.raisePriority(p.write, priority)
		let sent: { data: unknown } | null = null
		p.write = this.state.ports.enqueueWrite({
			priority: priority,
			build: (): TransactionContent | null => {
				const wanted = this.state.stopped ? null : this.wanted(name)
				const data = wanted === null || wanted.record === null ? null : encodeMachineGroup(wanted.record)
				sent = wanted === null ? null : { data }
				if (wanted === null) return null
				const key = KEY_PREFIX + machineGroupKey(name)
				return {
					conditions: [this.state.ownershipCondition(), { key, modRevision: wanted.modRevision }],
					mutations: [data === null ? { delete: key } : { set: key, data }],
				}
			},
			onResult: (result) => {
				p.write = null
				if (this.state.stopped) return
				if (result.kind === 'ok') {
					// A deletion is left to the watch: older news of the key may still be on their way to the mirror.
					if (sent === null || sent.data === null) {
						this.pending.delete(name)
						return
					}
					this.state.ports.applyOwnWrite(machineGroupKey(name), sent.data, result.revision)
				}
				const goOn = () => {
					if (this.state.stopped || p.write !== null) return
					if (this.wanted(name) === null) this.pending.delete(name)
					else if (p.answer !== null) this.flush(name, WritePriority.rental)
					else this.flush(name, p.used.size > 0 ? WritePriority.outcome : WritePriority.progress)
				}
				if (result.kind === 'ok' || result.kind === 'refused') goOn()
				else this.state.ports.refreshCache(goOn)
			},
		})
	}
}

/** Adopts unregistered machines, which send heartbeats but are in no machine group record. */
import { encodeMachineGroup, machineGroupKey } from '@heathroad/cluster'
import { KEY_PREFIX, WritePriority } from '@heathroad/store'
import type { Heartbeat } from '@heathroad/wire'
import type { ShardState } from './state.js'

/** Writes machine group records for unregistered machines assigned to this shard. */
export class MachineAdopter {
	private groupCounter = 0

	constructor(private readonly state: ShardState) {}

	/**
	 * Records the machines of these heartbeats as one machine group. A machine that has seen no fencing token has
	 * received no commands, so it holds no tasks. The caller ensures that no open rental can still add the machines to
	 * another record. `done` is always called.
	 */
	adopt(heartbeats: readonly Heartbeat[], done: () => void): void {
		const unrecorded = heartbeats.filter((heartbeat) => !this.state.machines.has(heartbeat.machineId))
		if (unrecorded.length === 0 || this.state.stopped) {
			done()
			return
		}
		const { shardId, fencingToken } = this.state
		const { machineType, zone, spot } = unrecorded[0]
		const addresses: Record<string, string | null> = {}
		for (const heartbeat of unrecorded) addresses[heartbeat.machineId] = heartbeat.address
		const data = encodeMachineGroup({ shardId, machineType, zone, spot, requestedCount: 0, addresses })
		const name = `c${shardId}-${fencingToken}-${++this.groupCounter}`
		const key = KEY_PREFIX + machineGroupKey(name)
		this.state.enqueueOwnedWrite(
			WritePriority.outcome,
			[{ key, modRevision: 0 }],
			[{ set: key, data }],
			(result) => {
				if (result.kind === 'ok' && !this.state.stopped) {
					this.state.dependencies.applyOwnWrite(machineGroupKey(name), data, result.revision)
					this.markReconciled(unrecorded)
					this.state.dependencies.log('info', 'machines adopted', {
						machines: Object.keys(addresses),
						part: shardId,
					})
				}
				done()
			},
		)
	}

	private markReconciled(heartbeats: readonly Heartbeat[]): void {
		for (const heartbeat of heartbeats) {
			const machine = this.state.machines.get(heartbeat.machineId)
			if (machine !== undefined && heartbeat.fencingToken === 0) machine.reconciled = true
		}
	}
}

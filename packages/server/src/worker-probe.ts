/** Finds out whether machines can be reached again, after this controller was cut off from them. */
import type { HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'

/** Probes in a row that must be answered before machines count as reachable. */
const ANSWERS_NEEDED = 3
/** Time limit of a probe in controller leases: as long as the interval between two probes. */
const PROBE_TIMEOUT_LEASES = 0.2

/** Probes one machine at a time while the membership is cut off from machines. */
export class WorkerProbe {
	private answersInARow = 0

	constructor(
		private readonly context: ControllerContext,
		private readonly workerClient: HttpClient,
	) {}

	/** Probes a random machine; does nothing unless this controller is cut off. */
	tick(): void {
		const { membership, machineGroups, config } = this.context
		if (!membership.partitionedFromMachines) return
		const addresses = [...machineGroups.records.values()]
			.flatMap((group) => Object.values(group.addresses))
			.filter((address) => address !== null)
		// Without machines nobody can be out of reach.
		if (addresses.length === 0) {
			this.onResult(true)
			return
		}
		const address = addresses[Math.floor(Math.random() * addresses.length)]
		const timeoutMs = config.limits.controllerLeaseMs * PROBE_TIMEOUT_LEASES
		const reply = this.workerClient.request(address, 'GET', '/inspect', undefined, timeoutMs)
		const isAnswered = Effect.match(reply, {
			onFailure: () => false,
			onSuccess: (answer) => answer.status === 200,
		})
		Effect.runFork(Effect.map(isAnswered, (answered) => this.onResult(answered)))
	}

	private onResult(answered: boolean): void {
		this.answersInARow = answered ? this.answersInARow + 1 : 0
		if (this.answersInARow < ANSWERS_NEEDED) return
		this.answersInARow = 0
		this.context.membership.partitionedFromMachines = false
		this.context.log('info', 'workers reachable again')
	}
}

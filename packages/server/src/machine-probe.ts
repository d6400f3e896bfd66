/** Detects the end of a network partition between this controller and the machines. */
import type { HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'

/** Number of consecutive probes that must be answered before machines count as reachable. */
const REQUIRED_ANSWERS = 3
/** Timeout of a probe in controller leases, equal to the interval between two probes. */
const PROBE_TIMEOUT_LEASES = 0.2

/** Probes one machine at a time while this controller is partitioned from the machines. */
export class MachineProbe {
	private consecutiveAnswers = 0

	constructor(
		private readonly context: ControllerContext,
		private readonly machineClient: HttpClient,
	) {}

	/** Probes a random machine; does nothing unless this controller is partitioned from the machines. */
	tick(): void {
		const { membership, machineGroups, config } = this.context
		if (!membership.partitionedFromMachines) return
		const addresses = [...machineGroups.records.values()]
			.flatMap((group) => Object.values(group.addresses))
			.filter((address) => address !== null)
		// Without machines, none can be unreachable.
		if (addresses.length === 0) {
			this.onResult(true)
			return
		}
		const address = addresses[Math.floor(Math.random() * addresses.length)]
		const timeoutMs = config.limits.controllerLeaseMs * PROBE_TIMEOUT_LEASES
		const reply = this.machineClient.request(address, 'GET', '/inspect', undefined, timeoutMs)
		const isAnswered = Effect.match(reply, {
			onFailure: () => false,
			onSuccess: (answer) => answer.status === 200,
		})
		Effect.runFork(Effect.map(isAnswered, (answered) => this.onResult(answered)))
	}

	private onResult(answered: boolean): void {
		this.consecutiveAnswers = answered ? this.consecutiveAnswers + 1 : 0
		if (this.consecutiveAnswers < REQUIRED_ANSWERS) return
		this.consecutiveAnswers = 0
		this.context.membership.partitionedFromMachines = false
		this.context.log('info', 'workers reachable again')
	}
}

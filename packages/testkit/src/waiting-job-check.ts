/** Part of the invariant checker: finds jobs that wait although a machine has had free capacity for them all along. */
import type { JobSpec } from '@heathroad/wire'

/** No job waits so long beside free capacity. */
const WAITING_LIMIT_MS = 90_000

/** A machine that can take tasks, and its whole capacity. */
export interface MachineCapacity {
	id: string
	type: string
	zone: string
	spot: boolean
	cpus: number
}

/** A task that is on machines. */
interface PlacedTask {
	spec: JobSpec
	machines: ReadonlySet<string>
}

/** Free capacity of the machines at the latest samples, and since when jobs have waited beside it. */
export class WaitingJobCheck {
	/** free CPUs by machine, one map for each sample */
	private readonly freeSamples: Map<string, number>[] = []
	private readonly waitingSince = new Map<string, number>()

	/** Takes a sample; returns the CPUs in use by team. */
	sample(
		machines: readonly MachineCapacity[],
		samples: number,
		tasks: readonly PlacedTask[],
	): Map<string, number> {
		const free = new Map(machines.map((machine) => [machine.id, machine.cpus]))
		const usedByTeam = new Map<string, number>()
		for (const { spec, machines: placedOn } of tasks) {
			usedByTeam.set(spec.team, (usedByTeam.get(spec.team) ?? 0) + spec.cpus)
			for (const id of placedOn) free.set(id, (free.get(id) ?? 0) - spec.cpus)
		}
		this.freeSamples.push(free)
		if (this.freeSamples.length > samples) this.freeSamples.shift()
		return usedByTeam
	}

	/** The job does not wait, or may do so. */
	reset(uid: string): void {
		this.waitingSince.delete(uid)
	}

	/** A machine beside which the job has waited for too long, reported once; null: none. */
	overdue(
		spec: JobSpec,
		machines: readonly MachineCapacity[],
		samples: number,
		nowMs: number,
	): MachineCapacity | null {
		const machine = machines.find((candidate) => this.fits(spec, candidate, samples))
		if (machine === undefined) {
			this.reset(spec.uid)
			return null
		}
		const since = this.waitingSince.get(spec.uid) ?? nowMs
		this.waitingSince.set(spec.uid, since)
		if (nowMs - since < WAITING_LIMIT_MS) return null
		this.waitingSince.set(spec.uid, Number.POSITIVE_INFINITY)
		return machine
	}

	private fits(spec: JobSpec, machine: MachineCapacity, samples: number): boolean {
		return (
			(spec.types?.includes(machine.type) ?? true) &&
			(spec.zone ?? machine.zone) === machine.zone &&
			(spec.spot || !machine.spot) &&
			this.lastingFreeCpus(machine.id, samples) >= spec.cpus
		)
	}

	/** CPUs of a machine that were free at each of the latest samples. */
	private lastingFreeCpus(id: string, samples: number): number {
		if (this.freeSamples.length < samples) return 0
		return Math.min(...this.freeSamples.map((free) => free.get(id) ?? 0))
	}
}

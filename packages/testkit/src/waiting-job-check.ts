/** Part of the invariant checker: finds jobs that wait although a machine has had enough free capacity all the time. */
import type { JobSpec } from '@heathroad/wire'

/** A job that waits this long despite sufficient free capacity is reported. */
const WAITING_LIMIT_MS = 90_000

/** A machine that can accept tasks, and its total capacity. */
export interface MachineCapacity {
	id: string
	type: string
	zone: string
	spot: boolean
	cpus: number
}

/** A task, and the machines it is placed on. */
interface PlacedTask {
	spec: JobSpec
	machines: ReadonlySet<string>
}

/** Tracks the free capacity of machines at recent samples, and since when jobs have waited despite it. */
export class WaitingJobCheck {
	/** free CPUs by machine, one map per sample */
	private readonly freeSamples: Map<string, number>[] = []
	private readonly waitingSince = new Map<string, number>()

	/** Samples the free capacity, and keeps the latest `samples` samples; returns the CPUs in use by team. */
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

	/** Restarts the measurement for a job that does not wait, or is permitted to wait. */
	reset(uid: string): void {
		this.waitingSince.delete(uid)
	}

	/** Returns a machine that fits the job if it has waited too long, once per job until reset; otherwise null. */
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

	/** Returns the number of CPUs that were free on a machine at each of the latest samples. */
	private lastingFreeCpus(id: string, samples: number): number {
		if (this.freeSamples.length < samples) return 0
		return Math.min(...this.freeSamples.map((free) => free.get(id) ?? 0))
	}
}

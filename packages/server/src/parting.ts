import { hash, type JobRecord, recordedDone } from '@heathroad/cluster'
import { allOffers, allowed, offerKey, type PartRoom, rank, roomiest, worthMoving } from '@heathroad/policy'
import { type JobSpec, PRIORITIES } from '@heathroad/wire'
import type { Core } from './core.js'

const amount = (s: JobSpec, tasks: number): number => tasks * Math.max(0.1, s.cpus) * Math.max(1, s.expectedS)

/** The unfinished work of every part, by the priority of its jobs, counted once for several choices. */
interface Load {
	cpus: number[]
	/** by part, by rank: all of it, and of what runs half */
	work: { all: number[]; running: number[] }[]
	stranded: Set<number>
}

/** Which part a job goes to: a new one, and one that its part cannot serve. */
export class Parting {
	constructor(private readonly s: Core) {}

	/** The part for a new job. */
	choose(spec: JobSpec): number {
		const fixed = this.fixed(spec)
		if (fixed !== null) return fixed
		// Ties are broken by the job's name, so that first jobs at several controllers spread.
		return this.roomiest(spec, this.rooms(spec, this.load(), null), hash(spec.uid) % this.parts())
	}

	/**
	 * For jobs that wait in a part, one after the other: where each would be served better by far, given where those before
	 * it go; null: it stays. `leaving`: jobs on their way already.
	 */
	leaver(part: number, leaving: readonly { spec: JobSpec; to: number }[]): (spec: JobSpec) => number | null {
		const load = this.load()
		const move = (spec: JobSpec, to: number) => {
			load.work[to].all[rank(spec.priority)] += amount(spec, spec.tasks)
			load.work[part].all[rank(spec.priority)] -= amount(spec, spec.tasks)
		}
		for (const l of leaving) move(l.spec, l.to)
		return (spec) => {
			if (this.fixed(spec) !== null) return null
			const rooms = this.rooms(spec, load, part)
			const to = this.roomiest(spec, rooms, part)
			if (to === part || !worthMoving(rooms[part], rooms[to], this.largest())) return null
			move(spec, to)
			return to
		}
	}

	/** Tasks of an open job that run, as its owner knows or last told. */
	running(uid: string, record: JobRecord): number {
		const job = this.s.part(record.part)?.jobs.get(uid)
		if (job !== undefined) return job.over ? 0 : job.runningCount()
		const owner = this.s.members.peers.find((p) => p.name === this.s.ownerName(record.part))
		return Number(owner?.news?.running[uid] ?? 0)
	}

	private parts(): number {
		return this.s.config.derived.names.length
	}

	private largest(): number {
		return Math.max(1, ...this.s.catalog().map((t) => t.cpus))
	}

	/** A team with a limit stays in one part, which then keeps it. */
	private fixed(spec: JobSpec): number | null {
		const team = this.s.config.settings.deployment.teams.find((t) => t.name === spec.team)
		return team !== undefined && (team.cpus_max > 0 || team.gpus_max > 0)
			? hash(spec.team) % this.parts()
			: null
	}

	private roomiest(spec: JobSpec, rooms: readonly PartRoom[], first: number): number {
		const grows = allOffers(this.s.catalog()).some(
			(o) => allowed(spec, o) && !this.s.capacity.refusedLast(offerKey(o)),
		)
		return roomiest(rooms, this.largest(), grows, first)
	}

	private load(): Load {
		const parts = this.parts()
		const types = this.s.catalog()
		const cpus = new Array<number>(parts).fill(0)
		for (const f of this.s.fleets.records.values()) {
			const machines = f.asked + Object.keys(f.hosts).length
			if (f.part < parts) cpus[f.part] += machines * (types.find((t) => t.name === f.type)?.cpus ?? 0)
		}
		const ranks = () => PRIORITIES.map(() => 0)
		const work = cpus.map(() => ({ all: ranks(), running: ranks() }))
		const suspects = this.s.suspects()
		for (const uid of this.s.jobs.open) {
			// It gets one trial at a time: no work to speak of.
			if (suspects.has(uid)) continue
			const record = this.s.jobs.get(uid)?.record
			if (record?.spec === undefined || record.part >= parts) continue
			if (this.s.heldBack(uid, record)) continue
			const r = rank(record.spec.priority)
			const done = recordedDone(uid, record, (key) => this.s.mirror.get(key)?.data)
			work[record.part].all[r] += amount(record.spec, record.spec.tasks - done)
			work[record.part].running[r] += amount(record.spec, this.running(uid, record) / 2)
		}
		return { cpus, work, stranded: this.s.stranded() }
	}

	/**
	 * What each part has for a job: its CPUs, and the unfinished work that goes before the job, with the job itself, which
	 * `home` has already. Work of lower priority counts only where it runs: a guest's vast idle array waits behind the
	 * job, and counted in full it would send all new work to the one part that has none of it, however few machines
	 * that has (incident 12).
	 */
	private rooms(spec: JobSpec, load: Load, home: number | null): PartRoom[] {
		const own = rank(spec.priority)
		return load.cpus.map((cpus, k) => {
			let work = k === home ? 0 : amount(spec, spec.tasks)
			for (let r = 0; r < PRIORITIES.length; r++)
				work += r >= own ? load.work[k].all[r] : load.work[k].running[r]
			return { cpus, work, stranded: load.stranded.has(k) }
		})
	}
}

import type { JobSpec, MachineType, Priority } from '@heathroad/wire'
import { PRIORITIES } from '@heathroad/wire'

export interface Resources {
	cpus: number
	gpus: number
	ramGb: number
}

const EPS = 1e-9

export const fits = (spec: Resources, room: Resources): boolean =>
	spec.cpus <= room.cpus + EPS && spec.gpus <= room.gpus + EPS && spec.ramGb <= room.ramGb + EPS

/** How many tasks fit side by side. */
export const tasksThatFit = (spec: Resources, room: Resources): number => {
	const of = (need: number, have: number) =>
		need > 0 ? Math.floor((have + EPS) / need) : Number.POSITIVE_INFINITY
	const n = Math.min(of(spec.cpus, room.cpus), of(spec.gpus, room.gpus), of(spec.ramGb, room.ramGb))
	return Number.isFinite(n) ? Math.max(0, n) : 1
}

/** The part of a machine that a task takes, by its scarcest resource. */
export const machineFraction = (spec: Resources, type: Resources): number =>
	Math.min(
		1,
		Math.max(
			type.cpus > 0 ? spec.cpus / type.cpus : 0,
			type.gpus > 0 ? spec.gpus / type.gpus : 0,
			type.ramGb > 0 ? spec.ramGb / type.ramGb : 0,
		),
	)

export const priorityRank = (p: Priority): number => PRIORITIES.indexOf(p)

/** May a task of this job be on such a machine, leaving the job's other tasks aside? */
export const isAllowedOn = (
	spec: JobSpec,
	m: { type: { name: string }; zone: string; spot: boolean },
): boolean =>
	(spec.types === null || spec.types.includes(m.type.name)) &&
	(spec.zone === null || spec.zone === m.zone) &&
	(spec.spot || !m.spot)

/**
 * May one more task go to `zone`, given how many of the job's tasks are (or may be) in each zone?
 * `apart` counts against the job's size: at most half of its tasks, rounded up, in one zone.
 */
export const isZoneAllowed = (spec: JobSpec, zone: string, inZone: ReadonlyMap<string, number>): boolean => {
	if (spec.samePlace) for (const [z, n] of inZone) if (n > 0 && z !== zone) return false
	if (spec.apart && (inZone.get(zone) ?? 0) + 1 > Math.ceil(spec.tasks / 2)) return false
	return true
}

/** 422: no catalogued type could ever run one task of the job. */
export const canEverRun = (spec: JobSpec, types: readonly MachineType[]): boolean =>
	types.some(
		(t) =>
			fits(spec, t) &&
			(spec.types === null || spec.types.includes(t.name)) &&
			(spec.zone === null || t.zones.includes(spec.zone)),
	)

export interface TeamLimit {
	name: string
	cpus: number
	gpus: number
	cpus_max: number
	gpus_max: number
}

/** A limit of 0 means none. */
export const withinLimit = (
	team: TeamLimit,
	used: { cpus: number; gpus: number },
	spec: Resources,
	tasks = 1,
): boolean =>
	(team.cpus_max <= 0 || used.cpus + spec.cpus * tasks <= team.cpus_max + EPS) &&
	(team.gpus_max <= 0 || used.gpus + spec.gpus * tasks <= team.gpus_max + EPS)

export interface Candidate {
	id: string
	parentOutput: boolean
	image: boolean
	seconds: number
	cost: number
	/** what is free on it */
	slack: number
}

/** Ties go to the cheaper machine, so that dear ones empty and go back, then to the fuller one. */
const faster = (a: Candidate, b: Candidate): number =>
	a.seconds - b.seconds || a.cost - b.cost || a.slack - b.slack || (a.id < b.id ? -1 : 1)

const preferred = (c: Candidate): number => (c.parentOutput ? 0 : c.image ? 1 : 2)

/**
 * Algorithm 2 for tasks that are all alike: the machines in the order in which they take them. First those within
 * the share: the fastest among those holding a parent's output, then among those holding the image, then the
 * others. None is within the share: the cheapest machine, unless one that the share covers could be rented.
 */
export const rankCandidates = <C extends Candidate>(
	candidates: readonly C[],
	share: number,
	affordable: () => boolean,
): C[] => {
	const inShare = candidates.filter((c) => c.cost <= share * (1 + 1e-6))
	inShare.sort((a, b) => preferred(a) - preferred(b) || faster(a, b))
	if (inShare.length === candidates.length || affordable()) return inShare
	const beyond = candidates.filter((c) => c.cost > share * (1 + 1e-6))
	beyond.sort((a, b) => (Math.abs(a.cost - b.cost) > EPS ? a.cost - b.cost : a.slack - b.slack))
	return [...inShare, ...beyond]
}

export interface Victim {
	key: string
	priority: Priority
	team: string
	cpus: number
	gpus: number
	ramGb: number
	/** work that stopping it loses, in seconds */
	lostS: number
}

/**
 * Which running tasks to stop on one machine so that `need` fits: lower priority only, or, for a team within
 * its guarantee, another team's work beyond that team's own guarantee. The least lost work goes first.
 */
export const chooseVictims = <V extends Victim>(
	need: Resources & { priority: Priority; team: string },
	free: Resources,
	running: readonly V[],
	entitled: boolean,
	beyond: (team: string) => boolean,
): V[] | null => {
	const may = running.filter(
		(v) =>
			priorityRank(v.priority) < priorityRank(need.priority) ||
			(entitled && v.team !== need.team && beyond(v.team)),
	)
	may.sort((a, b) => priorityRank(a.priority) - priorityRank(b.priority) || a.lostS - b.lostS)
	const room = { cpus: free.cpus, gpus: free.gpus, ramGb: free.ramGb }
	const out: V[] = []
	for (const v of may) {
		if (fits(need, room)) break
		out.push(v)
		room.cpus += v.cpus
		room.gpus += v.gpus
		room.ramGb += v.ramGb
	}
	return fits(need, room) ? out : null
}

export interface Objective {
	kind: string
	class?: string | null
	within_s?: number | null
	times?: number | null
}

/** By what age of a job its tasks have to start for each of its class's objectives, given their run time. */
export const startBounds = (
	spec: Pick<JobSpec, 'jobClass' | 'dueS'>,
	runS: number,
	objectives: readonly Objective[],
): number[] => {
	const out: number[] = []
	for (const o of objectives) {
		if (o.class !== spec.jobClass) continue
		if (o.kind === 'wait' && o.within_s) out.push(o.within_s)
		else if (o.kind === 'finished' && o.within_s) out.push(o.within_s - runS)
		else if (o.kind === 'deadline' && spec.dueS !== null) out.push(spec.dueS * (o.times ?? 1) - runS)
	}
	return out.filter((b) => b > 0)
}

/** The rank of a lifted job: directly below urgent ones. */
export const URGENCY_CUTOFF_RANK = priorityRank('urgent') - 0.5

/**
 * The rank by which ready tasks are ordered: the job's priority, but halfway to a bound that can still be met
 * a job of lower priority goes directly below urgent ones. Without this, low work starves on a full fleet.
 */
export const orderRank = (priority: Priority, ageS: number, bounds: readonly number[]): number => {
	const own = priorityRank(priority)
	return own < URGENCY_CUTOFF_RANK && bounds.some((b) => ageS >= b * 0.5 && ageS < b)
		? URGENCY_CUTOFF_RANK
		: own
}

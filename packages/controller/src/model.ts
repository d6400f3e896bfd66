import type { RentalRequest, RentResult } from '@heathroad/cloud'
import type { JobRecord } from '@heathroad/cluster'
import type { Ledger } from '@heathroad/policy'
import { Ranges } from '@heathroad/policy'
import type { Entry, Write } from '@heathroad/store'
import type { Count, EndCause, JobSpec, MachineType, Order, Report, TaskState } from '@heathroad/wire'
import type { CapacityBook } from './capacity.js'
import type { Checks } from './checks.js'

/** `planned`: chosen for a machine, nothing sent yet. `sent`: in a report's response, not settled yet. */
export type AttemptState = 'planned' | 'sent' | TaskState

export interface Attempt {
	key: string
	name: string
	uid: string
	machine: Machine
	task: number
	attempt: Count
	job: JobRun | null
	state: AttemptState
	cause: EndCause | null
	/** its end was taken into account */
	handled: boolean
	/** of no use here: stopped as soon as it is seen */
	stray: boolean
	/** stop it, granting so many seconds to save */
	stopGraceS: number | null
	startedAt: number | null
	share: number
	need: { cpus: number; gpus: number; ramGb: number; team: string }
}

export interface Machine {
	id: string
	type: MachineType
	zone: string
	spot: boolean
	addr: string | null
	token: number
	/** the fleet record that holds it */
	fleet: string
	/** has its address been recorded, so that it may get start commands? */
	used: boolean
	/** a report under our token was seen: what it does not list is not there */
	confirmed: boolean
	up: boolean
	tenure: Count
	counter: Count
	/** latest moment at which anybody can have answered one of its reports */
	answeredAt: number
	/** when it was rented, or found in the records */
	knownAt: number
	attempts: Map<string, Attempt>
	images: Map<string, number>
	noticeUntil: number | null
	/** being returned: nothing new goes there */
	leaving: string | null
	releasing: boolean
	/** an unconfirmed release is asked for again then */
	releaseAgainAt: number
	idleSince: number | null
	blockedUntil: number
	/** room is kept for this job: those behind it in the order get nothing here */
	heldFor: JobRun | null
	/** failed attempts here since its last success, by job */
	faults: Map<JobRun, number>
	probing: boolean
	free: { cpus: number; gpus: number; ramGb: number }
}

export class JobRun {
	/** absent everywhere and not done: may be started */
	ready = new Ranges()
	done = new Ranges()
	durable = new Ranges()
	/** task -> the attempt that may be on a machine, or is planned for one */
	placed = new Map<number, Attempt>()
	/** task -> how many strays of it are on machines: it starts nowhere before they are gone */
	readonly strays = new Map<number, number>()
	zones = new Map<string, number>()
	/** cancelled or done */
	over = false
	/** its record's next write, waiting or under way */
	write: Write | null = null
	lastWrite = 0
	notBefore = 0
	/** since when it has been in this part, steady time in ms */
	arrivedAt = 0
	/** on its way to another part: nothing of it may start here */
	moving = false
	/** see `orderRank` */
	rank = 0
	/** by what ages its tasks have to start for its objectives */
	bounds: readonly number[] = []
	/** machines on which it failed */
	readonly failedOn = new Set<string>()
	/** it goes to those again from then on */
	retryAt = 0
	/** failures, those that come together counted once */
	failures = 0
	failedAt = Number.NEGATIVE_INFINITY
	stayedUp = false
	/** seconds that stopped attempts of a task have run and saved */
	readonly savedS = new Map<number, number>()
	/** a former owner told that it was suspect */
	suspectBefore = false

	constructor(
		readonly spec: JobSpec,
		readonly at: number,
		readonly ledger: Ledger,
		public settled: boolean,
	) {}

	/** Some task of it has succeeded somewhere: what fails is not the job. A service succeeds by staying up. */
	get proven(): boolean {
		return this.done.size > 0 || this.stayedUp
	}

	/**
	 * Failed on several machines, or again and again, and succeeded nowhere: it was rather submitted with a mistake. It gets one trial at a
	 * time until its first success or its cancellation, and nothing is rented, held, stopped or moved ahead for it.
	 */
	get suspect(): boolean {
		return !this.proven && (this.failedOn.size >= 2 || this.failures >= 3 || this.suspectBefore)
	}

	runningCount(): number {
		let n = 0
		for (const a of this.placed.values()) if (a.state === 'running' || a.state === 'flushing') n++
		return n
	}
}

/** Time to grant a task that is stopped: what it needs to save and half as much again; none if it cannot save. */
export const graceS = (spec: JobSpec): number => (spec.checkpointS > 0 ? spec.saveS * 1.5 : 0)

/** What a part needs from the world. All of it may fail or come late; nothing here blocks. */
export interface Ports {
	now(): number
	/** time of day in ms, for ages that outlive an owner */
	wallClock(): number
	right(): 'grant' | 'promise' | 'none'
	entry(key: string): Entry | undefined
	under(prefix: string): Iterable<[string, Entry]>
	/** a job's record, and the stamp that its own key must still have for a write */
	job(uid: string): { record: JobRecord; stamp: number } | undefined
	/** was this job suspect when a former owner last told its peers? */
	suspected(uid: string): boolean
	/** what a team with a guarantee uses in the other parts */
	usedElsewhere(part: number, team: string): { cpus: number; gpus: number }
	/** says of waiting jobs of a part which other part would serve them better by far, given those on their way already */
	leaver(part: number, leaving: readonly { spec: JobSpec; to: number }[]): (spec: JobSpec) => number | null
	/** the operators' checks */
	checks(): Checks
	/** has the job to be released by checks before anything of it may start? */
	heldBack(uid: string, record: JobRecord): boolean
	/** has its mark of a release to stay on record: open, and without progress that would show it */
	marked(uid: string): boolean
	/** jobs without a final state */
	openJobs(): Iterable<string>
	wrote(key: string, data: unknown, stamp: number): void
	write(w: Omit<Write, 'until'>): Write
	/** a waiting write moves ahead */
	raise(w: Write, urgency: number): void
	/** brings the mirror up to date, then calls back */
	refresh(done: () => void): void
	/** once everything durable before the call is in the mirror; false if that could not be proven in time */
	fresh(done: (ok: boolean) => void): void
	/** up to which epoch the records are known */
	epoch(): number
	command(
		addr: string,
		token: number,
		tenure: Count,
		orders: Order[],
		done: (status: number, report: Report | null) => void,
	): void
	rent(request: RentalRequest, done: (result: RentResult) => void): void
	release(ids: string[], done: (gone: boolean) => void): void
	/** calls to the cloud that would go out at once */
	cloudCalls(): number
	catalog(): readonly MachineType[]
	capacity: CapacityBook
	log(level: 'info' | 'debug' | 'error', event: string, fields?: Record<string, unknown>): void
}

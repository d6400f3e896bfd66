import type { RentalRequest, RentResult } from '@heathroad/cloud'
import type { JobRecord, LeadershipStatus } from '@heathroad/cluster'
import type { Log } from '@heathroad/logging'
import type { BudgetLedger } from '@heathroad/policy'
import { RangeSet } from '@heathroad/policy'
import type { CacheEntry, QueuedWrite } from '@heathroad/store'
import type {
	Command,
	ExitReason,
	Heartbeat,
	JobSpec,
	MachineType,
	TaskState,
	WireInteger,
} from '@heathroad/wire'
import type { AdmissionChecks } from './admission-checks.js'
import type { OfferAvailability } from './offer-availability.js'

/** `planned`: chosen for a machine, nothing sent yet. `sent`: in a report's response, not settled yet. */
export type AttemptState = 'planned' | 'sent' | TaskState

export interface Attempt {
	key: string
	taskName: string
	uid: string
	machine: Machine
	taskIndex: number
	attempt: WireInteger
	job: JobRun | null
	state: AttemptState
	exitReason: ExitReason | null
	/** its end was taken into account */
	accountedFor: boolean
	/** of no use here: stopped as soon as it is seen */
	orphaned: boolean
	/** stop it, granting so many seconds to save */
	stopGracePeriodS: number | null
	startedAt: number | null
	budgetShare: number
	resources: { cpus: number; gpus: number; ramGb: number; team: string }
}

export interface Machine {
	id: string
	type: MachineType
	zone: string
	spot: boolean
	address: string | null
	fencingToken: number
	/** the fleet record that holds it */
	groupName: string
	/** has its address been recorded, so that it may get start commands? */
	addressRecorded: boolean
	/** a report under our token was seen: what it does not list is not there */
	reconciled: boolean
	booted: boolean
	agentEpoch: WireInteger
	heartbeatSequence: WireInteger
	/** latest moment at which anybody can have answered one of its reports */
	lastHeartbeatAt: number
	/** when it was rented, or found in the records */
	discoveredAt: number
	attempts: Map<string, Attempt>
	cachedImages: Map<string, number>
	preemptionDeadline: number | null
	/** being returned: nothing new goes there */
	drainReason: string | null
	releasing: boolean
	/** an unconfirmed release is asked for again then */
	retryReleaseAt: number
	idleSince: number | null
	cordonedUntil: number
	/** room is kept for this job: those behind it in the order get nothing here */
	reservedFor: JobRun | null
	/** failed attempts here since its last success, by job */
	failuresByJob: Map<JobRun, number>
	probing: boolean
	freeResources: { cpus: number; gpus: number; ramGb: number }
}

export class JobRun {
	/** absent everywhere and not done: may be started */
	readyTasks = new RangeSet()
	doneTasks = new RangeSet()
	durableDoneTasks = new RangeSet()
	/** task -> the attempt that may be on a machine, or is planned for one */
	placements = new Map<number, Attempt>()
	/** task -> how many strays of it are on machines: it starts nowhere before they are gone */
	readonly orphanCounts = new Map<number, number>()
	taskCountByZone = new Map<string, number>()
	/** cancelled or done */
	isTerminal = false
	/** its record's next write, waiting or under way */
	pendingWrite: QueuedWrite | null = null
	lastWrittenAt = 0
	retryNotBefore = 0
	/** since when it has been in this part, steady time in ms */
	arrivedAt = 0
	/** on its way to another part: nothing of it may start here */
	migrating = false
	/** see `orderRank` */
	rank = 0
	/** by what ages its tasks have to start for its objectives */
	startBounds: readonly number[] = []
	/** machines on which it failed */
	readonly failedMachineIds = new Set<string>()
	/** it goes to those again from then on */
	retryFailedMachinesAt = 0
	/** failures, those that come together counted once */
	failureCount = 0
	lastFailureAt = Number.NEGATIVE_INFINITY
	outlivedLease = false
	/** seconds that stopped attempts of a task have run and saved */
	readonly checkpointedS = new Map<number, number>()
	/** a former owner told that it was suspect */
	wasQuarantined = false

	constructor(
		readonly spec: JobSpec,
		readonly acceptedAtMs: number,
		readonly budget: BudgetLedger,
		public isReconciled: boolean,
	) {}

	/** Some task of it has succeeded somewhere: what fails is not the job. A service succeeds by staying up. */
	get hasSucceeded(): boolean {
		return this.doneTasks.size > 0 || this.outlivedLease
	}

	/**
	 * Failed on several machines, or again and again, and succeeded nowhere: it was rather submitted with a mistake. It gets one trial at a
	 * time until its first success or its cancellation, and nothing is rented, held, stopped or moved ahead for it.
	 */
	get isQuarantined(): boolean {
		return (
			!this.hasSucceeded && (this.failedMachineIds.size >= 2 || this.failureCount >= 3 || this.wasQuarantined)
		)
	}

	runningCount(): number {
		let n = 0
		for (const attempt of this.placements.values())
			if (attempt.state === 'running' || attempt.state === 'flushing') n++
		return n
	}
}

/** Time to grant a task that is stopped: what it needs to save and half as much again; none if it cannot save. */
export const gracePeriodS = (spec: JobSpec): number => (spec.checkpointS > 0 ? spec.saveS * 1.5 : 0)

/** What a part needs from the world. All of it may fail or come late; nothing here blocks. */
export interface ShardPorts {
	now(): number
	/** time of day in ms, for ages that outlive an owner */
	wallClockMs(): number
	leadership(): LeadershipStatus
	entry(key: string): CacheEntry | undefined
	withPrefix(prefix: string): Iterable<[string, CacheEntry]>
	/** a job's record, and the modRevision that its own key must still have for a write */
	job(uid: string): { record: JobRecord; modRevision: number } | undefined
	/** was this job suspect when a former owner last told its peers? */
	wasQuarantined(uid: string): boolean
	/** what a team with a guarantee uses in the other parts */
	usageInOtherShards(shardId: number, team: string): { cpus: number; gpus: number }
	/** says of waiting jobs of a part which other part would serve them better by far, given those on their way already */
	migrationPlanner(
		shardId: number,
		leaving: readonly { spec: JobSpec; to: number }[],
	): (spec: JobSpec) => number | null
	/** the operators' checks */
	checks(): AdmissionChecks
	/** has the job to be released by checks before anything of it may start? */
	isPendingRelease(uid: string, record: JobRecord): boolean
	/** has its mark of a release to stay on record: open, and without progress that would show it */
	keepsReleaseMark(uid: string): boolean
	/** jobs without a final state */
	openJobs(): Iterable<string>
	applyOwnWrite(key: string, data: unknown, modRevision: number): void
	enqueueWrite(w: Omit<QueuedWrite, 'deadline'>): QueuedWrite
	/** a waiting write moves ahead */
	raisePriority(write: QueuedWrite, priority: number): void
	/** brings the mirror up to date, then calls back */
	refreshCache(done: () => void): void
	/** once everything durable before the call is in the mirror; false if that could not be proven in time */
	linearizableRead(done: (ok: boolean) => void): void
	/** up to which revision the records are known */
	revision(): number
	sendCommands(
		address: string,
		fencingToken: number,
		agentEpoch: WireInteger,
		commands: Command[],
		done: (status: number, report: Heartbeat | null) => void,
	): void
	rent(request: RentalRequest, done: (result: RentResult) => void): void
	releaseMachines(ids: string[], done: (gone: boolean) => void): void
	/** calls to the cloud that would go out at once */
	availableCloudCalls(): number
	machineTypes(): readonly MachineType[]
	offerAvailability: OfferAvailability
	log: Log
}

/** Accepts users' submissions: validates them, runs the admission checks and queues them to be made durable. */
import type { AcceptedJobRecord } from '@heathroad/cluster'
import { canEverRun, isWithinLimit } from '@heathroad/policy'
import { type HttpReply, InvalidSubmission, type JobSpec, parseSubmission } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'
import { retryLater } from './http-replies.js'
import type { Respond } from './http-server.js'
import type { JobStatusReader } from './job-status.js'
import { type SubmissionOutcome, SubmissionQueue } from './submission-queue.js'

/** A submission that is not durable within this time is given up; users wait 5 s for a response (protocol). */
const SUBMISSION_TIMEOUT_MS = 3000
/** Longest retry delay in s that users are given while too many submissions are pending. */
const MAX_RETRY_AFTER_S = 30

/** Runs the effect of a user's request and sends its reply. */
type RunCall = (call: Effect.Effect<HttpReply>, respond: Respond) => void

/** Handles the submissions that this controller receives, from request to response. */
export class JobSubmissions {
	/** responses to send, by job id; retries of a pending submission share its outcome */
	private readonly waitingResponses = new Map<string, Respond[]>()
	private readonly queue: SubmissionQueue

	constructor(
		private readonly context: ControllerContext,
		private readonly statusReader: JobStatusReader,
		private readonly runCall: RunCall,
	) {
		this.queue = new SubmissionQueue(context)
	}

	/** Number of submissions without a response so far. */
	get pendingCount(): number {
		return this.waitingResponses.size
	}

	/** Handles the body of a submission. The response to a job that is known already is its status. */
	submit(body: unknown, respond: Respond): void {
		const spec = parseSubmission(body)
		if (spec instanceof InvalidSubmission) {
			respond({ status: 400, body: { error: String(spec), field: spec.field } })
			return
		}
		const { uid } = spec
		if (this.context.jobLocator.inMemory(uid) !== null) {
			this.runCall(this.statusReader.read(uid), respond)
			return
		}
		if (!this.canEvaluate()) {
			respond(retryLater())
			return
		}
		const waiting = this.waitingResponses.get(uid)
		if (waiting !== undefined) {
			waiting.push(respond)
			return
		}
		const rejection = this.rejectionReason(spec)
		if (rejection !== null) {
			this.runCall(this.rejectUnlessKnown(uid, rejection), respond)
			return
		}
		if (!this.context.isStoreReachable()) {
			respond(retryLater())
			return
		}
		if (!this.queue.hasCapacity(spec.team)) {
			this.rejectForCapacity(uid, respond)
			return
		}
		this.admit(spec, respond)
	}

	/** Returns whether this controller accepts jobs and has the data to evaluate them. */
	private canEvaluate(): boolean {
		const { acceptsJobs, cache } = this.context
		return acceptsJobs && cache.revision >= 0 && this.context.machineTypes().length > 0
	}

	private rejectForCapacity(uid: string, respond: Respond): void {
		const { maxPendingSubmissions, submissionsPerS } = this.context.config.limits
		const retryAfterS = Math.min(MAX_RETRY_AFTER_S, maxPendingSubmissions / submissionsPerS)
		this.context.log('info', 'submission rejected', { uid, why: 'too many are waiting', retryAfterS })
		respond(retryLater(retryAfterS, 429))
	}

	private admit(spec: JobSpec, respond: Respond): void {
		const { uid } = spec
		this.waitingResponses.set(uid, [respond])
		const respondToAll = (reply: HttpReply) => {
			for (const respondToOne of this.waitingResponses.get(uid) ?? []) respondToOne(reply)
			this.waitingResponses.delete(uid)
		}
		this.context.checks.admit(spec, (rejection, released) => {
			if (rejection === null) return this.accept(spec, released, respondToAll)
			this.context.log('info', 'submission rejected', { uid, why: rejection })
			this.runCall(this.rejectUnlessKnown(uid, rejection), respondToAll)
		})
	}

	/** Responds with 422, or with the job's status if another controller accepted the job earlier. */
	private rejectUnlessKnown(uid: string, rejection: string): Effect.Effect<HttpReply> {
		const rejectUnknown = (status: HttpReply) =>
			status.status === 404 ? { status: 422, body: { error: rejection } } : status
		return this.statusReader.read(uid).pipe(Effect.map(rejectUnknown))
	}

	/** Queues an admitted job; `released`: the checks that released the job when they admitted it. */
	private accept(spec: JobSpec, released: readonly string[], respond: Respond): void {
		const requiredChecks = this.context.checks.required(spec).filter((name) => !released.includes(name))
		const record: AcceptedJobRecord = {
			shardId: this.context.shardRouter.chooseShard(spec),
			spec,
			acceptedAtMs: Date.now(),
			...(requiredChecks.length > 0 ? { requiredChecks } : {}),
		}
		this.queue.enqueue(record, SUBMISSION_TIMEOUT_MS, (outcome) => this.onOutcome(record, outcome, respond))
	}

	private onOutcome(
		{ spec, shardId }: AcceptedJobRecord,
		outcome: SubmissionOutcome,
		respond: Respond,
	): void {
		const { uid } = spec
		if (outcome === 'refused') {
			respond(retryLater())
			return
		}
		if (outcome === 'unclear') {
			this.runCall(this.statusReader.read(uid), (status) =>
				respond(status.status === 404 ? retryLater() : status),
			)
			return
		}
		const { jobClass, team, priority, tasks, cpus, expectedS, checkpointS } = spec
		this.context.log('info', 'job accepted', {
			uid,
			part: shardId,
			tasks,
			jobClass,
			team,
			priority,
			cpus,
			expectedS,
			checkpointS,
		})
		respond({ status: 201, body: { uid, status: 'pending' } })
	}

	/** Returns why a job can never run in this cluster; null if it can. */
	private rejectionReason(spec: JobSpec): string | null {
		const team = this.context.config.settings.deployment.teams.find(({ name }) => name === spec.team)
		if (team === undefined) return `unknown team ${spec.team}`
		if (!canEverRun(spec, this.context.machineTypes())) return 'no allowed machine type has room for one task'
		// A job array runs with as few as one task at a time; other jobs need all of theirs at once.
		const concurrentTasks = spec.kind === 'sweep' ? 1 : spec.tasks
		if (!isWithinLimit(team, { cpus: 0, gpus: 0 }, spec, concurrentTasks))
			return `more than the limit of team ${spec.team}`
		return null
	}
}

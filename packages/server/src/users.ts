import {
	countRecordedDone,
	HISTORY_KEY,
	type JobRecord,
	putJobRecord,
	recordTerminalJobs,
	terminalDoneCount,
	toTerminalJob,
} from '@heathroad/cluster'
import { terminalPageLimits } from '@heathroad/config'
import type { ArchivedJob } from '@heathroad/history'
import { canEverRun, withinLimit } from '@heathroad/policy'
import { KEY_PREFIX, type TransactionContent, WritePriority, type WriteResult } from '@heathroad/store'
import {
	type HttpReply,
	InvalidSubmission,
	JOB_ID_PATTERN,
	type JobSpec,
	type JobStatusResponse,
	parseSubmission,
} from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './core.js'
import type { HttpRequest, Respond } from './http.js'
import { SubmissionQueue } from './intake.js'

const RUNS = '/v2/runs'
export const isUserPath = (path: string): boolean => path === RUNS || path.startsWith(`${RUNS}/`)
/** A submission that could not be made durable by then is given up; users wait 5 s for an answer (protocol). */
const INTAKE_MS = 3000
const later = (retryAfterS = 1, status = 503): HttpReply => ({
	status,
	body: { error: 'come back later' },
	retryAfterS,
})
const unknownPath: HttpReply = { status: 404, body: { error: 'no such path' } }
const wrongMethod: HttpReply = { status: 405, body: { error: 'method not allowed' } }

/** The users' interface: what is told here is durable, and no older than a read begun after the question. */
export class UserApi {
	private readonly accepting = new Map<string, Respond[]>()
	private readonly submissionQueue: SubmissionQueue

	constructor(private readonly context: ControllerContext) {
		this.submissionQueue = new SubmissionQueue(context)
	}

	handle(request: HttpRequest, respond: Respond): void {
		if (request.path === RUNS)
			return request.method === 'POST' ? this.submit(request.body, respond) : respond(wrongMethod)
		if (!request.path.startsWith(`${RUNS}/`)) return respond(unknownPath)
		const [uid, verb, ...rest] = request.path.slice(RUNS.length + 1).split('/')
		if (rest.length > 0 || (verb !== undefined && verb !== 'withdraw')) return respond(unknownPath)
		if (verb === 'withdraw')
			return request.method === 'POST' ? this.run(this.withdraw(uid), respond) : respond(wrongMethod)
		return request.method === 'GET' ? this.run(this.status(uid), respond) : respond(wrongMethod)
	}

	/** Submissions that wait for their answer. */
	get pendingSubmissions(): number {
		return this.accepting.size
	}

	private run(effect: Effect.Effect<HttpReply>, respond: Respond): void {
		Effect.runFork(effect.pipe(Effect.map((told) => respond(this.confirmed(told)))))
	}

	/** A cancellation is told only once all its tasks are sure to be gone in time, whoever owns them by now. */
	private confirmed(told: HttpReply): HttpReply {
		const { uid, status } = (told.body ?? {}) as Partial<JobStatusResponse>
		if (told.status !== 200 || status !== 'aborted' || uid === undefined) return told
		const leftMs =
			this.context.config.limits.cancellationConfirmDelayMs - this.context.cancellations.knownForMs(uid)
		return leftMs > 0 ? later(leftMs / 1000) : told
	}

	private answer(uid: string, record: JobRecord): HttpReply {
		const body: JobStatusResponse = { uid, status: 'pending', done: 0, running: 0 }
		if (record.finalState !== undefined) {
			body.status = record.finalState
			body.done = terminalDoneCount(record)
			return { status: 200, body }
		}
		// From the records, also where we own the job and know more: another controller, asked next, must not tell less.
		body.done = this.recordedDone(uid, record)
		body.running = this.context.shardRouter.runningTaskCount(uid, record)
		if (body.running > 0) body.status = 'running'
		return { status: 200, body }
	}

	private recordedDone(uid: string, record: JobRecord): number {
		return countRecordedDone(uid, record, (key) => this.context.cache.get(key)?.data)
	}

	private record(uid: string): JobRecord | null {
		return this.context.jobs.get(uid)?.record ?? null
	}

	private archived(uid: string, { aborted, doneCount: done }: ArchivedJob): HttpReply {
		return { status: 200, body: { uid, status: aborted ? 'aborted' : 'done', done, running: 0 } }
	}

	private status(uid: string): Effect.Effect<HttpReply> {
		const unknown: HttpReply = { status: 404, body: { error: 'no such job' } }
		if (!JOB_ID_PATTERN.test(uid)) return Effect.succeed(unknown)
		// A final state stays for ever: no newer answer can exist.
		const known = this.record(uid)
		if (known?.finalState !== undefined) return Effect.succeed(this.answer(uid, known))
		const old = known === null ? this.context.archive.cached(uid) : undefined
		if (old !== undefined) return Effect.succeed(this.archived(uid, old))
		return this.context.linearizableRead().pipe(
			Effect.flatMap((ok) => {
				const record = this.record(uid)
				if (record?.finalState !== undefined) return Effect.succeed(this.answer(uid, record))
				if (!ok) return Effect.succeed(later())
				if (record !== null) return Effect.succeed(this.answer(uid, record))
				// Not in memory as of now: it is archived, or nobody submitted it.
				return this.context.archive.lookUp(uid).pipe(
					Effect.map((found) => {
						if (found === 'unsure') return later()
						return found === 'absent' ? unknown : this.archived(uid, found)
					}),
				)
			}),
		)
	}

	private withdraw(uid: string, tries = 3): Effect.Effect<HttpReply> {
		return this.status(uid).pipe(
			Effect.flatMap((seen) => {
				const record = this.record(uid)
				if (seen.status !== 200 || record === null || record.finalState !== undefined)
					return Effect.succeed(seen)
				return this.cancel(uid, record).pipe(
					Effect.flatMap((result) => {
						const now = this.record(uid)
						if (now?.finalState !== undefined) return Effect.succeed(this.answer(uid, now))
						if (result.kind === 'conflict' && tries > 1) return this.withdraw(uid, tries - 1)
						return Effect.succeed(later())
					}),
				)
			}),
		)
	}

	/** What makes a cancellation durable, from what is known when its turn comes; null: the job is over. */
	private cancellation(uid: string, record: JobRecord): TransactionContent | null {
		const known = this.context.jobs.get(uid)
		if (known === undefined || known.record.finalState !== undefined) return null
		const over = toTerminalJob(uid, 'aborted', record.spec, this.recordedDone(uid, known.record))
		const { cache, config } = this.context
		const { taskCount: tasks, resources: need } = over
		const data: JobRecord = {
			shardId: record.shardId,
			finalState: 'aborted',
			taskCount: tasks,
			resources: need,
			doneCount: over.doneCount,
		}
		const own = putJobRecord(cache, uid, known.modRevision, data)
		if (cache.get(HISTORY_KEY) === undefined) return own
		// The own key too, until it is cleared away: an owner that has not seen the cancellation yet must not write
		// progress behind it, for counts that were told never fall.
		const { content } = recordTerminalJobs(cache, record.shardId, [over], terminalPageLimits(config))
		return {
			conditions: [...content.conditions, ...own.conditions],
			mutations: [...content.mutations, ...own.mutations],
		}
	}

	private cancel(uid: string, record: JobRecord): Effect.Effect<WriteResult> {
		return Effect.callback<WriteResult>((resume) => {
			let sent: TransactionContent | null = null
			this.context.writeQueue.enqueue({
				priority: WritePriority.user,
				build: () => {
					sent = this.cancellation(uid, record)
					return sent
				},
				deadline: this.context.now() + 3000,
				onResult: (result) => {
					if (result.kind === 'ok')
						for (const c of sent?.mutations ?? [])
							if ('set' in c)
								this.context.cache.applyOwnWrite(c.set.slice(KEY_PREFIX.length), c.data, result.revision)
					resume(Effect.succeed(result))
				},
			})
		})
	}

	private submit(body: unknown, respond: Respond): void {
		const spec = parseSubmission(body)
		if (spec instanceof InvalidSubmission)
			return respond({ status: 400, body: { error: String(spec), field: spec.field } })
		const uid = spec.uid
		if (this.record(uid) !== null || this.context.archive.cached(uid) !== undefined)
			return this.run(this.status(uid), respond)
		if (
			!this.context.acceptsJobs ||
			this.context.cache.revision < 0 ||
			this.context.machineTypes().length === 0
		)
			return respond(later())
		const waiting = this.accepting.get(uid)
		if (waiting !== undefined) {
			waiting.push(respond)
			return
		}
		const refusal = this.refusal(spec)
		if (refusal !== null) return this.run(this.unlessKnown(uid, refusal), respond)
		if (!this.context.isStoreReachable()) return respond(later())
		const { maxPendingSubmissions: intakeLimit, submissionsPerS: intakePerS } = this.context.config.limits
		if (!this.submissionQueue.hasCapacity(spec.team)) {
			const retryAfterS = Math.min(30, intakeLimit / intakePerS)
			this.context.log('info', 'submission rejected', { uid, why: 'too many are waiting', retryAfterS })
			return respond(later(retryAfterS, 429))
		}
		this.accepting.set(uid, [respond])
		const tell = (told: HttpReply) => {
			for (const one of this.accepting.get(uid) ?? []) one(told)
			this.accepting.delete(uid)
		}
		this.context.checks.admit(spec, (why, released) => {
			if (why === null) return this.accept(spec, released, tell)
			this.context.log('info', 'submission rejected', { uid, why })
			this.run(this.unlessKnown(uid, why), tell)
		})
	}

	/** Accepted earlier by another controller, it must not be refused now. */
	private unlessKnown(uid: string, refusal: string): Effect.Effect<HttpReply> {
		const refused = (seen: HttpReply) =>
			seen.status === 404 ? { status: 422, body: { error: refusal } } : seen
		return this.status(uid).pipe(Effect.map(refused))
	}

	private accept(spec: JobSpec, released: readonly string[], respond: Respond): void {
		const { uid } = spec
		const checks = this.context.checks.required(spec).filter((name) => !released.includes(name))
		const record = {
			shardId: this.context.shardRouter.chooseShard(spec),
			spec,
			acceptedAtMs: Date.now(),
			...(checks.length > 0 ? { requiredChecks: checks } : {}),
		}
		this.submissionQueue.enqueue(record, INTAKE_MS, (outcome) => {
			if (outcome === 'accepted') {
				const { jobClass, team, priority, tasks, cpus, expectedS, checkpointS } = spec
				this.context.log('info', 'job accepted', {
					uid,
					part: record.shardId,
					tasks,
					jobClass,
					team,
					priority,
					cpus,
					expectedS,
					checkpointS,
				})
				respond({ status: 201, body: { uid, status: 'pending' } })
			} else if (outcome === 'refused') respond(later())
			else this.run(this.status(uid), (r) => respond(r.status === 404 ? later() : r))
		})
	}

	/** Why a job can never run here; null if it can. */
	private refusal(spec: JobSpec): string | null {
		const team = this.context.config.settings.deployment.teams.find((t) => t.name === spec.team)
		if (team === undefined) return `unknown team ${spec.team}`
		if (!canEverRun(spec, this.context.machineTypes())) return 'no allowed machine type has room for one task'
		if (!withinLimit(team, { cpus: 0, gpus: 0 }, spec, spec.kind === 'sweep' ? 1 : spec.tasks))
			return `more than the limit of team ${spec.team}`
		return null
	}
}

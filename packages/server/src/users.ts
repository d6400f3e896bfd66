import {
	doneTasks,
	ended,
	finalStates,
	HISTORY,
	type JobRecord,
	ownRecord,
	recordedDone,
} from '@heathroad/cluster'
import { pageRoom } from '@heathroad/config'
import type { Past } from '@heathroad/history'
import { canEverRun, withinLimit } from '@heathroad/policy'
import { type Content, ROOT, Urgency, type WriteResult } from '@heathroad/store'
import { type JobAnswer, type JobSpec, Malformed, type Reply, readSubmission, UID } from '@heathroad/wire'
import { Effect } from 'effect'
import type { Core } from './core.js'
import type { Call, Tell } from './http.js'
import { Intake } from './intake.js'

const RUNS = '/v2/runs'
export const isForUsers = (path: string): boolean => path === RUNS || path.startsWith(`${RUNS}/`)
/** A submission that could not be made durable by then is given up; users wait 5 s for an answer (protocol). */
const INTAKE_MS = 3000
const later = (retryAfterS = 1, status = 503): Reply => ({
	status,
	body: { error: 'come back later' },
	retryAfterS,
})
const unknownPath: Reply = { status: 404, body: { error: 'no such path' } }
const wrongMethod: Reply = { status: 405, body: { error: 'method not allowed' } }

/** The users' interface: what is told here is durable, and no older than a read begun after the question. */
export class Users {
	private readonly accepting = new Map<string, Tell[]>()
	private readonly intake: Intake

	constructor(private readonly s: Core) {
		this.intake = new Intake(s)
	}

	handle(call: Call, reply: Tell): void {
		if (call.path === RUNS) return call.method === 'POST' ? this.submit(call.body, reply) : reply(wrongMethod)
		if (!call.path.startsWith(`${RUNS}/`)) return reply(unknownPath)
		const [uid, verb, ...rest] = call.path.slice(RUNS.length + 1).split('/')
		if (rest.length > 0 || (verb !== undefined && verb !== 'withdraw')) return reply(unknownPath)
		if (verb === 'withdraw')
			return call.method === 'POST' ? this.run(this.withdraw(uid), reply) : reply(wrongMethod)
		return call.method === 'GET' ? this.run(this.status(uid), reply) : reply(wrongMethod)
	}

	/** Submissions that wait for their answer. */
	get waiting(): number {
		return this.accepting.size
	}

	private run(effect: Effect.Effect<Reply>, reply: Tell): void {
		Effect.runFork(effect.pipe(Effect.map((told) => reply(this.confirmed(told)))))
	}

	/** A cancellation is told only once all its tasks are sure to be gone in time, whoever owns them by now. */
	private confirmed(told: Reply): Reply {
		const { uid, status } = (told.body ?? {}) as Partial<JobAnswer>
		if (told.status !== 200 || status !== 'aborted' || uid === undefined) return told
		const leftMs = this.s.config.derived.confirmAfterMs - this.s.cancellations.knownMs(uid)
		return leftMs > 0 ? later(leftMs / 1000) : told
	}

	private answer(uid: string, record: JobRecord): Reply {
		const body: JobAnswer = { uid, status: 'pending', done: 0, running: 0 }
		if (record.final !== undefined) {
			body.status = record.final
			body.done = doneTasks(record)
			return { status: 200, body }
		}
		// From the records, also where we own the job and know more: another controller, asked next, must not tell less.
		body.done = this.recordedDone(uid, record)
		body.running = this.s.parting.running(uid, record)
		if (body.running > 0) body.status = 'running'
		return { status: 200, body }
	}

	private recordedDone(uid: string, record: JobRecord): number {
		return recordedDone(uid, record, (key) => this.s.mirror.get(key)?.data)
	}

	private record(uid: string): JobRecord | null {
		return this.s.jobs.get(uid)?.record ?? null
	}

	private archived(uid: string, { aborted, done }: Past): Reply {
		return { status: 200, body: { uid, status: aborted ? 'aborted' : 'done', done, running: 0 } }
	}

	private status(uid: string): Effect.Effect<Reply> {
		const unknown: Reply = { status: 404, body: { error: 'no such job' } }
		if (!UID.test(uid)) return Effect.succeed(unknown)
		// A final state stays for ever: no newer answer can exist.
		const known = this.record(uid)
		if (known?.final !== undefined) return Effect.succeed(this.answer(uid, known))
		const old = known === null ? this.s.history.known(uid) : undefined
		if (old !== undefined) return Effect.succeed(this.archived(uid, old))
		return this.s.fresh().pipe(
			Effect.flatMap((ok) => {
				const record = this.record(uid)
				if (record?.final !== undefined) return Effect.succeed(this.answer(uid, record))
				if (!ok) return Effect.succeed(later())
				if (record !== null) return Effect.succeed(this.answer(uid, record))
				// Not in memory as of now: it is archived, or nobody submitted it.
				return this.s.history.find(uid).pipe(
					Effect.map((found) => {
						if (found === 'unsure') return later()
						return found === 'absent' ? unknown : this.archived(uid, found)
					}),
				)
			}),
		)
	}

	private withdraw(uid: string, tries = 3): Effect.Effect<Reply> {
		return this.status(uid).pipe(
			Effect.flatMap((seen) => {
				const record = this.record(uid)
				if (seen.status !== 200 || record === null || record.final !== undefined) return Effect.succeed(seen)
				return this.cancel(uid, record).pipe(
					Effect.flatMap((result) => {
						const now = this.record(uid)
						if (now?.final !== undefined) return Effect.succeed(this.answer(uid, now))
						if (result.kind === 'conflict' && tries > 1) return this.withdraw(uid, tries - 1)
						return Effect.succeed(later())
					}),
				)
			}),
		)
	}

	/** What makes a cancellation durable, from what is known when its turn comes; null: the job is over. */
	private cancellation(uid: string, record: JobRecord): Content | null {
		const known = this.s.jobs.get(uid)
		if (known === undefined || known.record.final !== undefined) return null
		const over = ended(uid, 'aborted', record.spec, this.recordedDone(uid, known.record))
		const { mirror, config } = this.s
		const { tasks, need } = over
		const data: JobRecord = { part: record.part, final: 'aborted', tasks, need, count: over.done }
		const own = ownRecord(mirror, uid, known.stamp, data)
		if (mirror.get(HISTORY) === undefined) return own
		// The own key too, until it is cleared away: an owner that has not seen the cancellation yet must not write
		// progress behind it, for counts that were told never fall.
		const { content } = finalStates(mirror, record.part, [over], pageRoom(config))
		return {
			conditions: [...content.conditions, ...own.conditions],
			changes: [...content.changes, ...own.changes],
		}
	}

	private cancel(uid: string, record: JobRecord): Effect.Effect<WriteResult> {
		return Effect.callback<WriteResult>((resume) => {
			let sent: Content | null = null
			this.s.writer.submit({
				urgency: Urgency.user,
				build: () => {
					sent = this.cancellation(uid, record)
					return sent
				},
				until: this.s.now() + 3000,
				done: (result) => {
					if (result.kind === 'ok')
						for (const c of sent?.changes ?? [])
							if ('set' in c) this.s.mirror.wrote(c.set.slice(ROOT.length), c.data, result.epoch)
					resume(Effect.succeed(result))
				},
			})
		})
	}

	private submit(body: unknown, reply: Tell): void {
		const spec = readSubmission(body)
		if (spec instanceof Malformed)
			return reply({ status: 400, body: { error: String(spec), field: spec.field } })
		const uid = spec.uid
		if (this.record(uid) !== null || this.s.history.known(uid) !== undefined)
			return this.run(this.status(uid), reply)
		if (!this.s.takesJobs || this.s.mirror.epoch < 0 || this.s.catalog().length === 0) return reply(later())
		const waiting = this.accepting.get(uid)
		if (waiting !== undefined) {
			waiting.push(reply)
			return
		}
		const refusal = this.refusal(spec)
		if (refusal !== null) return this.run(this.unlessKnown(uid, refusal), reply)
		if (!this.s.stateOk()) return reply(later())
		const { intakeLimit, intakePerS } = this.s.config.derived
		if (!this.intake.hasRoom(spec.team)) {
			const retryAfterS = Math.min(30, intakeLimit / intakePerS)
			this.s.log('info', 'submission refused', { uid, why: 'too many are waiting', retryAfterS })
			return reply(later(retryAfterS, 429))
		}
		this.accepting.set(uid, [reply])
		const tell = (told: Reply) => {
			for (const one of this.accepting.get(uid) ?? []) one(told)
			this.accepting.delete(uid)
		}
		this.s.checks.admit(spec, (why, released) => {
			if (why === null) return this.accept(spec, released, tell)
			this.s.log('info', 'submission refused', { uid, why })
			this.run(this.unlessKnown(uid, why), tell)
		})
	}

	/** Accepted earlier by another controller, it must not be refused now. */
	private unlessKnown(uid: string, refusal: string): Effect.Effect<Reply> {
		const refused = (seen: Reply) => (seen.status === 404 ? { status: 422, body: { error: refusal } } : seen)
		return this.status(uid).pipe(Effect.map(refused))
	}

	private accept(spec: JobSpec, released: readonly string[], tell: Tell): void {
		const { uid } = spec
		const checks = this.s.checks.required(spec).filter((name) => !released.includes(name))
		const record = {
			part: this.s.parting.choose(spec),
			spec,
			at: Date.now(),
			...(checks.length > 0 ? { checks } : {}),
		}
		this.intake.accept(record, INTAKE_MS, (how) => {
			if (how === 'accepted') {
				const { jobClass, team, priority, tasks, cpus, expectedS, checkpointS } = spec
				this.s.log('info', 'accepted', {
					uid,
					part: record.part,
					tasks,
					jobClass,
					team,
					priority,
					cpus,
					expectedS,
					checkpointS,
				})
				tell({ status: 201, body: { uid, status: 'pending' } })
			} else if (how === 'refused') tell(later())
			else this.run(this.status(uid), (r) => tell(r.status === 404 ? later() : r))
		})
	}

	/** Why a job can never run here; null if it can. */
	private refusal(spec: JobSpec): string | null {
		const team = this.s.config.settings.deployment.teams.find((t) => t.name === spec.team)
		if (team === undefined) return `unknown team ${spec.team}`
		if (!canEverRun(spec, this.s.catalog())) return 'no allowed machine type has room for one task'
		if (!withinLimit(team, { cpus: 0, gpus: 0 }, spec, spec.kind === 'sweep' ? 1 : spec.tasks))
			return `more than the limit of team ${spec.team}`
		return null
	}
}

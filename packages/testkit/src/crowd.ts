import { encodeSubmission, isMap, type JobSpec } from '@heathroad/wire'
import { RandomFaults } from './chances.js'
import type { Clock } from './clock.js'
import type { InvariantChecker } from './rules.js'
import type { FakeResponse } from './standins.js'

/** A job of the day, when its user submits it and calls it off. */
export interface DayJob {
	atS: number
	spec: JobSpec
	cancelAtS?: number
}

/** What users need of the world around them. */
export interface UserWorkloadPorts {
	clock: Clock
	rules: InvariantChecker
	controllers: number
	/** the controller that the balancer gives a user; null: none is healthy */
	someController(): number | null
	/** sends a request to a controller; the answer comes once, late or never */
	send(i: number, method: string, path: string, body: unknown, reply: (r: FakeResponse | null) => void): void
	/** a machine stands still */
	hang(id: string, forMs: number): void
}

const RUNS = '/v2/runs'
/** Users give up waiting for an answer, ask anew and try again so often. */
const PATIENCE_MS = 4000
const ASK_MS = 3000
const AGAIN_MS = 1000
/** Questions at all controllers come within so many milliseconds of one another. */
const CLOSE_MS = 30
/** As long as it takes until a job's end is reported and written. */
const END_MS = 1200
/** The most machines that stand still with jobs called off on them. */
const MOST_HUNG = 8
/** Jobs of users who err: nobody else uses these ids. */
const ODD_FIRST = 800_000

/** What a field of a submission must not be, by what it is; of those that may be null only one is a number. */
const spoilt = (field: string, value: unknown): unknown => {
	if (field === 'dueS' || typeof value === 'number') return -1
	return typeof value === 'boolean' ? 'yes' : 5
}

/**
 * The users of a day: each asks any controller again and again until the answer is final; some look closely, cancel at the
 * worst moment, or err.
 */
export class UserWorkload {
	/** submissions as they were answered: by status; 0: no answer, or no healthy controller */
	readonly submissions = new Map<number, number>()
	/** how much oftener than usual they ask */
	eagerness = 1
	/** shares of jobs called off as their last task ends, and of news that are looked at closely */
	readonly chances: RandomFaults<'cancelAtEnd' | 'closeLooks'>
	private errs = false
	private odd = 0
	private readonly specs = new Map<string, JobSpec>()
	private readonly cancelling = new Set<string>()

	constructor(private readonly w: UserWorkloadPorts) {
		this.chances = new RandomFaults(w.clock)
		w.rules.news = (uid, state) => this.lookClosely(uid, state)
		w.rules.ended = (uid) => {
			if (this.chances.happens('cancelAtEnd')) this.meetTheEnd(uid)
		}
	}

	private ask(
		uid: string,
		i: number | null,
		[method, path, body]: readonly [string, string, unknown],
		heard: (r: FakeResponse | null) => void = () => {},
	): void {
		const { clock, rules } = this.w
		let over = false
		const known = rules.state(uid)
		const before = rules.count(uid)
		const finish = (r: FakeResponse | null) => {
			if (over) return
			over = true
			if (r !== null) {
				const { status, done } = isMap(r.body) ? r.body : {}
				const counts = typeof done === 'number' ? { now: done, before } : undefined
				rules.told(uid, r.status, (status as string) ?? null, known, counts)
				if (path === RUNS && (r.status === 400 || r.status === 422)) rules.refused(uid)
			}
			rules.asked(uid, r?.status === 200 || r?.status === 201 || r?.status === 404)
			heard(r)
		}
		if (i === null) return void clock.after(AGAIN_MS, () => finish(null))
		this.w.send(i, method, path, body, finish)
		clock.after(PATIENCE_MS, () => finish(null))
	}

	private question(uid: string) {
		return ['GET', `${RUNS}/${uid}`, undefined] as const
	}

	private submission(spec: JobSpec) {
		return ['POST', RUNS, encodeSubmission(spec)] as const
	}

	private withdrawal(uid: string) {
		if (!this.cancelling.has(uid)) this.w.rules.cancelAsked(uid)
		this.cancelling.add(uid)
		return ['POST', `${RUNS}/${uid}/withdraw`, {}] as const
	}

	/** Asks until it has an answer. */
	private cancel(uid: string): void {
		this.ask(uid, this.w.someController(), this.withdrawal(uid), (r) => {
			if (r?.status !== 200 && r?.status !== 404) this.w.clock.after(AGAIN_MS, () => this.cancel(uid))
		})
	}

	private poll(uid: string): void {
		const { clock, rules } = this.w
		const state = rules.state(uid)
		const over = state === 'done' || state === 'aborted'
		const ask = () =>
			this.ask(uid, this.w.someController(), this.question(uid), () => {
				if (over) this.poll(uid)
				else clock.after(ASK_MS / this.eagerness, () => this.poll(uid))
			})
		// Final states are asked for again, much later.
		if (over) clock.after(20_000, ask)
		else ask()
	}

	private submit(spec: JobSpec): void {
		const { clock, rules } = this.w
		rules.submitted(spec)
		this.ask(spec.uid, this.w.someController(), this.submission(spec), (r) => {
			const status = r?.status ?? 0
			this.submissions.set(status, (this.submissions.get(status) ?? 0) + 1)
			// Not retried (protocol).
			if (status === 422) return
			if (status === 200 || status === 201) this.poll(spec.uid)
			else clock.after(AGAIN_MS, () => this.submit(spec))
		})
	}

	/** One user and the job. */
	add({ atS, spec, cancelAtS }: DayJob): void {
		this.specs.set(spec.uid, spec)
		this.w.clock.after(atS * 1000, () => this.submit(spec))
		if (cancelAtS !== undefined) this.w.clock.after(cancelAtS * 1000, () => this.cancel(spec.uid))
	}

	/** A user was told something new: asks all controllers within milliseconds, submits again, may call the job off. */
	private lookClosely(uid: string, state: string): void {
		const spec = this.specs.get(uid)
		if (spec === undefined || !this.chances.happens('closeLooks')) return
		const { clock } = this.w
		const cancels = state !== 'done' && state !== 'aborted' && clock.random() < 0.15
		for (let round = 0; round < 3; round++)
			for (let i = 0; i < this.w.controllers; i++) {
				const what = clock.random() < 0.4 ? this.submission(spec) : this.question(uid)
				clock.after(clock.between(0, CLOSE_MS) * (1 + round * 4), () => this.ask(uid, i, what))
			}
		if (cancels) clock.after(clock.between(0, CLOSE_MS), () => this.cancel(uid))
	}

	/**
	 * A cancellation, a question and a repeated submission reach different controllers as the last task ends, or as that is
	 * being written.
	 */
	private meetTheEnd(uid: string): void {
		const spec = this.specs.get(uid)
		if (spec === undefined) return
		const { clock } = this.w
		clock.after(clock.between(0, END_MS), () => this.cancel(uid))
		for (const what of [this.question(uid), this.submission(spec), this.question(uid)]) {
			const i = Math.floor(clock.random() * this.w.controllers)
			clock.after(clock.between(0, END_MS), () => this.ask(uid, i, what))
		}
	}

	/** Users call off so many jobs that run and have long to go, within a fifth of a second; machines hang with them. */
	cancelNow(count: number, hangMs: number): void {
		const { clock, rules } = this.w
		const running = rules
			.running()
			.filter((r) => r.machines.length > 0)
			.sort((a, b) => b.spec.expectedS - a.spec.expectedS || (a.spec.uid < b.spec.uid ? -1 : 1))
			.slice(0, count)
		const machines = [...new Set(running.flatMap((r) => r.machines))].slice(0, MOST_HUNG)
		if (hangMs > 0) for (const id of machines) this.w.hang(id, hangMs)
		for (const { spec } of running) clock.after(clock.between(0, 200), () => this.cancel(spec.uid))
	}

	/** Users repeat submissions, cancel what is over, and send what fits no machine or lacks a field. */
	err(forMs: number): void {
		const { clock } = this.w
		this.errs = true
		clock.after(forMs, () => {
			this.errs = false
		})
		const next = () => {
			if (!this.errs) return
			this.errOnce()
			clock.after(clock.between(100, 500), next)
		}
		next()
	}

	private errOnce(): void {
		const { clock, rules } = this.w
		const some = [...this.specs.values()]
		const spec = some[Math.floor(clock.random() * some.length)]
		const i = Math.floor(clock.random() * this.w.controllers)
		if (spec === undefined) return
		const state = rules.state(spec.uid)
		const turn = this.odd++
		if (turn % 3 === 0 && state !== null) return this.ask(spec.uid, i, this.submission(spec))
		if (turn % 3 === 1 && state === 'done') return this.ask(spec.uid, i, this.withdrawal(spec.uid))
		const uid = `job-${ODD_FIRST + turn}`
		rules.mustRefuse(uid)
		const body: Record<string, unknown> = encodeSubmission({ ...spec, uid })
		const fields = Object.keys(body)
		const field = fields[turn % fields.length]
		// Each field in turn is invalid, left out and null; in between a job fits no machine.
		const how = Math.floor(turn / fields.length) % 4
		const mayBeNull = field === 'flavours' || field === 'site' || field === 'dueS'
		let right = 400
		if (how === 3) {
			body.cpus = 1e6
			right = 422
		} else if (how === 0 || mayBeNull) body[field] = field === 'uid' ? `${uid}x` : spoilt(field, body[field])
		else if (how === 1) delete body[field]
		else body[field] = null
		this.w.send(i, 'POST', RUNS, body, (r) => {
			if (r !== null) rules.refusedAs(uid, r.status, right)
		})
		// Nobody was told that it is accepted: it must stay unknown.
		clock.after(AGAIN_MS, () => this.ask(uid, i, this.question(uid)))
	}
}

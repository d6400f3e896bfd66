import { type JobRecord, markReleased } from '@heathroad/cluster'
import { maxValueChars } from '@heathroad/config'
import type { LogEvent } from '@heathroad/logging'
import { KEY_PREFIX, type TransactionContent, WritePriority } from '@heathroad/store'
import type { JobSpec } from '@heathroad/wire'
import TinyQueue from 'tinyqueue'
import type { CheckContext, Verdict } from './admission-checks.js'
import type { ShardState } from './state.js'

/** Questions of one part that are under way at a time. */
const MOST_ASKED = 8
/** The pause after an answer that could not be acted on grows to that. */
const MOST_PAUSE_MS = 30_000
/** Jobs that join a question bring it forward no oftener than that. */
const EARLY_MS = 1000

interface Held {
	uid: string
	spec: JobSpec
	at: number
	/** checks that have not released it yet */
	waits: Set<string>
}

/** What one check is asked about: a job, or all jobs of a class and team that wait for it. */
interface Question {
	name: string
	jobs: Set<Held>
	/** steady time in ms */
	askAt: number
	asked: number
	/** when it was last asked, and whether the answer is still to come */
	lastAsked: number
	open: boolean
	/** answers in a row that could not be acted on */
	unsure: number
	/** no job is left */
	over: boolean
}

/** When a check's time for a job is over. */
interface Limit {
	job: Held
	name: string
	at: number
}

/**
 * Jobs that may not start yet, since a check of the operators' has not released them. They are no jobs of the part as
 * far as planning goes: nothing is placed, rented, held or stopped for them, and no round looks at them. What is
 * asked can be asked again, by a successor too; only the release is made durable, before anything of the job starts,
 * and conditional on the ownership: so nothing that an owner was told counts once it has lost the part, and a job
 * that has started is never held again.
 */
export class AdmissionGate {
	private readonly held = new Map<string, Held>()
	private readonly questions = new Map<string, Question>()
	private readonly asks = new TinyQueue<Question>([], (a, b) => a.askAt - b.askAt)
	private readonly limits = new TinyQueue<Limit>([], (a, b) => a.at - b.at)
	/** released by every check, or their time is over: what is left is to make that durable */
	private readonly passed = new Set<Held>()
	private asking = 0
	private writing = false

	constructor(
		private readonly state: ShardState,
		/** the job may start: it is durable that it may, or shown */
		private readonly open: (uid: string) => void,
	) {}

	get size(): number {
		return this.held.size
	}

	has(uid: string): boolean {
		return this.held.has(uid)
	}

	hold(spec: JobSpec, record: JobRecord): void {
		const job: Held = {
			uid: spec.uid,
			spec,
			at: record.acceptedAtMs ?? 0,
			waits: new Set(record.requiredChecks ?? []),
		}
		this.held.set(job.uid, job)
		const now = this.state.ports.now()
		const waitedMs = this.state.ports.wallClockMs() - job.at
		for (const name of [...job.waits]) {
			const terms = this.state.ports.checks().terms(name)
			if (terms === null) {
				this.releasedBy(job, name, 'there is no such check here')
				continue
			}
			this.limits.push({ job, name, at: now + terms.atMostMs - waitedMs })
			const key = terms.grouped ? `${name} ${spec.jobClass} ${spec.team}` : `${name} ${job.uid}`
			const known = this.questions.get(key)
			known?.jobs.add(job)
			// Under way already: it is asked again for those that came meanwhile.
			if (known?.open === true) continue
			// What was said of the others was not said of this one; a burst of them is asked about once a second.
			const soon = Math.min(
				known?.askAt ?? now,
				Math.max(now, (known?.lastAsked ?? Number.NEGATIVE_INFINITY) + EARLY_MS),
			)
			if (known !== undefined) known.over = true
			const q: Question = {
				name,
				jobs: known?.jobs ?? new Set([job]),
				askAt: soon,
				asked: known?.asked ?? 0,
				lastAsked: known?.lastAsked ?? Number.NEGATIVE_INFINITY,
				open: false,
				unsure: known?.unsure ?? 0,
				over: false,
			}
			this.questions.set(key, q)
			this.asks.push(q)
		}
		this.tick(now)
	}

	/** It is over, belongs to another part, or may start: nothing is asked about it any more. */
	drop(uid: string): void {
		const job = this.held.get(uid)
		if (job === undefined) return
		this.held.delete(uid)
		this.passed.delete(job)
		for (const [key, q] of this.ofJob(job)) this.withdraw(job, key, q)
	}

	private withdraw(job: Held, key: string, q: Question): void {
		q.jobs.delete(job)
		if (q.jobs.size > 0) return
		q.over = true
		this.questions.delete(key)
	}

	private *ofJob(job: Held): Iterable<[string, Question]> {
		for (const name of job.waits)
			for (const key of [`${name} ${job.uid}`, `${name} ${job.spec.jobClass} ${job.spec.team}`]) {
				const q = this.questions.get(key)
				if (q?.jobs.has(job)) yield [key, q]
			}
	}

	/** A task of a held job is on a machine: it was released, though the mark is not known here yet. */
	onTaskSeen(uid: string): void {
		if (!this.held.has(uid)) return
		this.drop(uid)
		this.open(uid)
	}

	/** Marks became known, our own among them. */
	onJobsReleased(uids: readonly string[]): void {
		for (const uid of uids) this.onTaskSeen(uid)
	}

	/** The regular look: whose time is over, who is to be asked again, and what is to be made durable. */
	tick(now: number): void {
		if (this.state.stopped || this.held.size === 0) return
		for (let l = this.limits.peek(); l !== undefined && l.at <= now; l = this.limits.peek()) {
			this.limits.pop()
			if (this.held.get(l.job.uid) === l.job && l.job.waits.has(l.name))
				this.releasedBy(l.job, l.name, 'its time is over')
		}
		for (let q = this.asks.peek(); q !== undefined && q.askAt <= now; q = this.asks.peek()) {
			if (this.asking >= MOST_ASKED && !q.over) break
			this.asks.pop()
			if (!q.over) this.ask(q)
		}
		this.flush()
	}

	private ask(q: Question): void {
		const { ports } = this.state
		const terms = ports.checks().terms(q.name)
		const jobs = [...q.jobs]
		if (terms === null) {
			for (const job of jobs) this.releasedBy(job, q.name, 'there is no such check here')
			return
		}
		const [first] = jobs
		const waitedMs = ports.wallClockMs() - first.at
		const seen: CheckContext = {
			waitedS: waitedMs / 1000,
			leftS: Math.max(0, terms.atMostMs - waitedMs) / 1000,
			asked: q.asked,
			waiting: q.jobs.size,
		}
		q.asked++
		q.lastAsked = ports.now()
		q.open = true
		this.asking++
		let over = false
		ports.checks().ask(q.name, first.spec, seen, (verdict) => {
			if (over) return
			over = true
			q.open = false
			this.asking--
			if (this.state.stopped) return
			this.heard(q, jobs, verdict, terms.whenUnsure)
		})
	}

	private heard(q: Question, jobs: readonly Held[], verdict: Verdict, whenUnsure: 'release' | 'hold'): void {
		const now = this.state.ports.now()
		if (verdict.kind === 'release' || (verdict.kind === 'unsure' && whenUnsure === 'release')) {
			const why = verdict.kind === 'release' ? 'released' : `unsure: ${verdict.why}`
			for (const job of jobs) if (this.held.get(job.uid) === job) this.releasedBy(job, q.name, why)
		} else if (verdict.kind === 'unsure') {
			const pause = Math.min(MOST_PAUSE_MS, Math.max(verdict.againMs, 500 * 2 ** Math.min(10, q.unsure++)))
			q.askAt = now + pause
			this.say(q, 'job held without an answer', verdict.why)
		} else {
			q.unsure = 0
			q.askAt = now + verdict.againMs
			this.say(q, 'job held', verdict.why)
		}
		if (!q.over) {
			// Those that came meanwhile are asked about now.
			if (jobs.length < q.jobs.size || !jobs.some((j) => q.jobs.has(j))) q.askAt = now
			this.asks.push(q)
		}
		this.tick(now)
	}

	private say(q: Question, event: LogEvent, why: string): void {
		const [first] = q.jobs
		if (first !== undefined)
			this.state.ports.log('info', event, { uid: first.uid, check: q.name, jobs: q.jobs.size, why })
	}

	private releasedBy(job: Held, name: string, why: string): void {
		for (const [key, q] of this.ofJob(job)) if (q.name === name) this.withdraw(job, key, q)
		job.waits.delete(name)
		this.state.ports.log('info', 'admission check passed', { uid: job.uid, check: name, why })
		if (job.waits.size === 0) this.passed.add(job)
	}

	/** One write at a time, with all that were released meanwhile. */
	private flush(): void {
		if (this.writing || this.passed.size === 0 || this.state.stopped) return
		if (this.state.ports.leadership() !== 'lease') return
		this.writing = true
		let sent: { content: TransactionContent; taken: readonly string[] } | null = null
		this.state.ports.enqueueWrite({
			// A user waits for the start, as others do for their outcomes.
			priority: WritePriority.outcome,
			build: () => {
				sent = null
				if (this.state.stopped || this.passed.size === 0) return null
				const uids = [...this.passed].map((j) => j.uid)
				const { config, records: known, shardId } = this.state
				const { txn_ops } = config.settings.deployment.state
				const limits = { room: maxValueChars(config.settings), ops: Math.min(4, txn_ops) }
				sent = markReleased(known, shardId, uids, (uid) => this.state.ports.keepsReleaseMark(uid), limits)
				const { conditions, mutations } = sent.content
				return { conditions: [this.state.ownershipCondition(), ...conditions], mutations: mutations }
			},
			onResult: (result) => {
				this.writing = false
				if (this.state.stopped || sent === null) return
				if (result.kind === 'ok') {
					// The pages tell who may start; what is not on them, though it was sent, is asked to be sent again.
					for (const c of sent.content.mutations)
						if ('set' in c)
							this.state.ports.applyOwnWrite(c.set.slice(KEY_PREFIX.length), c.data, result.revision)
					this.flush()
				} else if (result.kind !== 'refused') this.state.ports.refreshCache(() => this.flush())
			},
		})
	}
}

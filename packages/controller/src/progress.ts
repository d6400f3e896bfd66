import { CHUNK, chunkKey, type JobRecord, ownRecord } from '@heathroad/cluster'
import type { Ranges } from '@heathroad/policy'
import { type Content, ROOT, Urgency } from '@heathroad/store'
import type { Change } from '@heathroad/wire'
import type { JobRun } from './model.js'
import { Outcomes } from './outcomes.js'
import type { PartState } from './state.js'

/** Makes the jobs' progress and outcomes durable. */
export class Progress {
	private readonly outcomes: Outcomes

	constructor(private readonly s: PartState) {
		this.outcomes = new Outcomes(s)
	}

	private complete(job: JobRun): boolean {
		return job.spec.kind !== 'daemon' && job.done.size >= job.spec.tasks
	}

	/** What the job's record should say now; null: nothing is to be written here any more. */
	private content(job: JobRun): { snapshot: Ranges; content: Content } | null {
		const uid = job.spec.uid
		const known = this.s.ports.job(uid)
		if (job.over || this.s.stopped || known === undefined || known.record.final !== undefined) return null
		const complete = this.complete(job)
		if (complete && this.s.paged) return null
		const snapshot = job.done.copy()
		const more: Change[] = []
		let data: JobRecord
		if (complete) {
			const { team, cpus, gpus, ramGb } = job.spec
			data = {
				part: this.s.k,
				final: 'done',
				tasks: job.spec.tasks,
				need: { team, cpus, gpus, ramGb },
			}
		} else {
			data = { ...known.record, done: snapshot.slice(0, CHUNK) }
			const ops = this.s.config.settings.deployment.state.txn_ops
			for (let c = 1; c * CHUNK < job.spec.tasks; c++) {
				const [from, to] = [c * CHUNK, Math.min(job.spec.tasks, (c + 1) * CHUNK)]
				const now = snapshot.slice(from, to)
				if (String(now) === String(job.durable.slice(from, to))) continue
				// What does not fit into this transaction is not durable yet and waits for the next one.
				if (more.length + 1 < ops) more.push({ set: ROOT + chunkKey(uid, c), data: now })
				else for (let n = from; n < to; n++) if (!job.durable.has(n)) snapshot.delete(n)
			}
		}
		const { conditions, changes } = ownRecord(this.s.known, uid, known.stamp, data, more)
		return { snapshot, content: { conditions: [this.s.owning(), ...conditions], changes } }
	}

	/**
	 * Writes a job's progress, or its final state once all its tasks are done; what waits for its turn then goes
	 * ahead as an outcome. Both contend with a cancellation: on the job's stamp in the first form of the records, in
	 * the second on that of the page where all final states of the part are.
	 */
	write(job: JobRun): void {
		if (job.over || this.s.stopped) return
		const complete = this.complete(job)
		if (complete && this.s.paged) return this.outcomes.add(job)
		const urgency = complete ? Urgency.outcome : Urgency.progress
		if (job.write !== null) return this.s.ports.raise(job.write, urgency)
		let sent: ReturnType<Progress['content']> = null
		job.write = this.s.ports.write({
			urgency,
			build: (): Content | null => {
				sent = this.content(job)
				return sent?.content ?? null
			},
			done: (result) => {
				job.write = null
				if (this.s.stopped) return
				job.lastWrite = this.s.ports.now()
				const goOn = () => {
					if (job.write === null && this.complete(job)) this.write(job)
				}
				if (result.kind === 'ok' && sent !== null) {
					job.durable.addAll(sent.snapshot)
					for (const c of sent.content.changes)
						if ('set' in c) this.s.ports.wrote(c.set.slice(ROOT.length), c.data, result.epoch)
					goOn()
				} else if (result.kind !== 'refused') this.s.ports.refresh(goOn)
			},
		})
	}

	/**
	 * The regular look: outcomes at once, progress as often as a share of the change rate lets every open job be
	 * written in turn, sooner where an empty machine waits for it to go back.
	 */
	look(now: number, wanted: ReadonlySet<JobRun | null>): void {
		const d = this.s.config.derived
		const least = d.reportMs * this.s.config.tuning.progressReports
		const behind: JobRun[] = []
		for (const job of this.s.jobs.values())
			if (!job.over && job.done.size > job.durable.size) behind.push(job)
		const share = (behind.length / (d.writesPerS * 0.4)) * 1000
		for (const job of behind)
			if (this.complete(job) || now - job.lastWrite > (wanted.has(job) ? share : Math.max(least, share)))
				this.write(job)
	}
}

import { ended, finalStates } from '@heathroad/cluster'
import { type Content, ROOT, Urgency, type Write } from '@heathroad/store'
import type { JobRun } from './model.js'
import type { PartState } from './state.js'

/**
 * Makes outcomes durable, as many in one change as end while an earlier one is under way. One write at a time: each
 * is made from the page that the one before it left.
 */
export class Outcomes {
	private readonly waiting = new Set<JobRun>()
	private write: Write | null = null

	constructor(private readonly s: PartState) {}

	/** All of the job's tasks are done; asked for again and again until that is durable. */
	add(job: JobRun): void {
		this.waiting.add(job)
		this.flush()
	}

	/** Those that are not over yet, as far as is known. */
	private open(): JobRun[] {
		for (const job of this.waiting)
			if (job.over || this.s.ports.job(job.spec.uid)?.record.final !== undefined) this.waiting.delete(job)
		return [...this.waiting]
	}

	private flush(): void {
		if (this.write !== null || this.waiting.size === 0 || this.s.stopped) return
		let sent: { jobs: JobRun[]; content: Content } | null = null
		this.write = this.s.ports.write({
			urgency: Urgency.outcome,
			build: () => {
				sent = null
				if (this.s.stopped) return null
				const open = this.open()
				if (open.length === 0) return null
				const jobs = open.map((j) => ended(j.spec.uid, 'done', j.spec, j.spec.tasks))
				const { content, taken } = finalStates(this.s.known, this.s.k, jobs, this.s.room)
				sent = {
					jobs: open.slice(0, taken),
					content: { conditions: [this.s.owning(), ...content.conditions], changes: content.changes },
				}
				return sent.content
			},
			done: (result) => {
				this.write = null
				if (this.s.stopped || sent === null) return
				if (result.kind === 'ok') {
					for (const job of sent.jobs) this.waiting.delete(job)
					for (const c of sent.content.changes)
						if ('set' in c) this.s.ports.wrote(c.set.slice(ROOT.length), c.data, result.epoch)
					this.flush()
				} else if (result.kind !== 'refused') this.s.ports.refresh(() => this.flush())
			},
		})
	}
}

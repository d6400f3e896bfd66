/** Serves users' requests for a job's status from the records and the archive. */
import { countRecordedDone, type JobRecord, terminalDoneCount } from '@heathroad/cluster'
import type { ArchivedJob } from '@heathroad/history'
import { type HttpReply, JOB_ID_PATTERN, type JobStatusResponse } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'
import { NO_SUCH_JOB, retryLater } from './http-replies.js'
import type { JobLocation } from './job-locator.js'

const archivedStatus = (uid: string, { aborted, doneCount }: ArchivedJob): HttpReply => ({
	status: 200,
	body: { uid, status: aborted ? 'aborted' : 'done', done: doneCount, running: 0 },
})

/** Reads jobs' statuses. A status is durable and at least as recent as a read that starts after the request. */
export class JobStatusReader {
	constructor(private readonly context: ControllerContext) {}

	/** Returns a job's record if it is in memory. */
	record(uid: string): JobRecord | null {
		return this.context.jobs.get(uid)?.record ?? null
	}

	/** Returns the number of a job's tasks that are recorded as done. */
	recordedDoneCount(uid: string, record: JobRecord): number {
		return countRecordedDone(uid, record, (key) => this.context.cache.get(key)?.data)
	}

	/** Returns the status that a record in memory shows. */
	statusOf(uid: string, record: JobRecord): HttpReply {
		if (record.finalState !== undefined) {
			const done = terminalDoneCount(record)
			return { status: 200, body: { uid, status: record.finalState, done, running: 0 } }
		}
		// The count is from the records even if this controller owns the job and knows of more: a lower count from another
		// controller must not follow.
		const done = this.recordedDoneCount(uid, record)
		const running = this.context.shardRouter.runningTaskCount(uid, record)
		const body: JobStatusResponse = { uid, status: running > 0 ? 'running' : 'pending', done, running }
		return { status: 200, body }
	}

	/** Reads a job's status: 200 with the status, 404 if the job was never submitted, 503 if neither can be proven. */
	read(uid: string): Effect.Effect<HttpReply> {
		if (!JOB_ID_PATTERN.test(uid)) return Effect.succeed(NO_SUCH_JOB)
		return Effect.map(this.context.jobLocator.locateNow(uid), (location) => this.replyFor(uid, location))
	}

	private replyFor(uid: string, location: JobLocation): HttpReply {
		switch (location.kind) {
			case 'open':
			case 'terminal':
				return this.statusOf(uid, location.record)
			case 'archived':
				return archivedStatus(uid, location.job)
			case 'absent':
				return NO_SUCH_JOB
			case 'unknown':
				return retryLater()
		}
	}

	/** Delays the confirmation of a cancellation until all the job's tasks, whoever owns them, are certain to be gone. */
	delayUnconfirmed(reply: HttpReply): HttpReply {
		const { uid, status } = (reply.body ?? {}) as Partial<JobStatusResponse>
		if (reply.status !== 200 || status !== 'aborted' || uid === undefined) return reply
		const { config, cancellations } = this.context
		const remainingMs = config.limits.cancellationConfirmDelayMs - cancellations.knownForMs(uid)
		return remainingMs > 0 ? retryLater(remainingMs / 1000) : reply
	}
}

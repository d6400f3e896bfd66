/** Decides which terminal states a full read of the state service keeps in memory. */
import {
	decodeAcceptedBatch,
	decodeHistoryRecord,
	decodeJobRecord,
	HISTORY_KEY,
	type HistoryRecord,
	type JobRecord,
} from '@heathroad/cluster'
import type { FullReadFilter } from '@heathroad/store'
import type { ControllerContext } from './controller-context.js'
import type { SearchScope } from './job-locator.js'
import { prefixOf, RecordKind } from './record-kinds.js'

const JOB_PREFIX = prefixOf(RecordKind.job)
const BATCH_PREFIX = prefixOf(RecordKind.acceptedBatch)

/** Returns the record of the records' format and archival epoch; null: nothing was ever archived. */
export const historyRecord = (context: ControllerContext): HistoryRecord | null =>
	decodeHistoryRecord(context.cache.get(HISTORY_KEY)?.data)

/** Tells whether terminal states may stand under own keys that a full read leaves out of memory. */
const usesOwnKeys = (context: ControllerContext, record: HistoryRecord | null): boolean =>
	record === null ? context.config.history !== null : record.legacy

/**
 * Terminal states under keys of their own, which the first record format kept for ever, are left out of full reads:
 * 200,000 of them take more memory than a controller has.
 */
export class TerminalStateRetention {
	/** whether any full read so far has left out terminal states of the first format */
	private hasOmittedStates = false
	/** revision at which the first request of the latest full read was answered; -1: there was none */
	private latestFullReadRevision = -1

	/** `onOmitted`: called for every terminal state that a full read leaves out. */
	constructor(
		private readonly context: ControllerContext,
		private readonly onOmitted: (uid: string, record: JobRecord, revision: number) => void,
	) {}

	/** Returns where terminal states may be that are not in memory. */
	searchScope(): SearchScope {
		const record = historyRecord(this.context)
		return {
			ownKeys: usesOwnKeys(this.context, record),
			hasOmittedStates: this.hasOmittedStates,
			archive: record !== null,
		}
	}

	/** See `latestFullReadRevision`. */
	get fullReadRevision(): number {
		return this.latestFullReadRevision
	}

	/** A full read begins. */
	beginFullRead(): FullReadFilter {
		const filter = new TerminalStateFilter(this.context, (uid, record, revision) => {
			this.hasOmittedStates = true
			this.onOmitted(uid, record, revision)
		})
		return {
			retains: (key, data, modRevision) => filter.retains(key, data, modRevision),
			onApply: (revision) => {
				this.latestFullReadRevision = revision
				filter.onApply(revision)
			},
		}
	}
}

/** What one full read leaves out. Several reads may be in flight, each with a filter of its own. */
class TerminalStateFilter implements FullReadFilter {
	/** whether terminal states of the first format are left out */
	private omitsLegacyStates: boolean
	private hasOmittedCancellations = false
	/** jobs that the read has met in accepted batches */
	private readonly jobsInBatches = new Set<string>()

	constructor(
		private readonly context: ControllerContext,
		private readonly onOmitted: (uid: string, record: JobRecord, revision: number) => void,
	) {
		this.omitsLegacyStates = usesOwnKeys(context, historyRecord(context))
	}

	/**
	 * Terminal states that an accepted batch still names are kept, and those of jobs that are open in memory: without them
	 * the job would be open again. That batch, and the record of the format, come before job keys in the order of keys.
	 */
	retains(key: string, data: unknown, modRevision: number): boolean {
		// Where none of the first format are left, a job's own key shows a cancellation that is yet to be deleted.
		if (key === HISTORY_KEY) this.omitsLegacyStates = decodeHistoryRecord(data)?.legacy ?? true
		if (key.startsWith(BATCH_PREFIX)) this.rememberBatch(data)
		if (!this.omitsLegacyStates || !key.startsWith(JOB_PREFIX)) return true
		const record = decodeJobRecord(data)
		const uid = key.slice(JOB_PREFIX.length)
		if (record?.finalState === undefined || this.jobsInBatches.has(uid)) return true
		if (this.context.jobs.openJobs.has(uid)) return true
		if (record.finalState === 'aborted') this.hasOmittedCancellations = true
		this.onOmitted(uid, record, modRevision)
		return false
	}

	onApply(revision: number): void {
		if (this.hasOmittedCancellations) this.context.cancellations.markIncompleteUpTo(revision)
	}

	private rememberBatch(data: unknown): void {
		for (const { spec } of decodeAcceptedBatch(data) ?? []) this.jobsInBatches.add(spec.uid)
	}
}

/** Decides which terminal states a full read of the state service retains in memory. */
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

/** Returns the record that holds the record format and the archival epoch; null: nothing was ever archived. */
export const historyRecord = (context: ControllerContext): HistoryRecord | null =>
	decodeHistoryRecord(context.cache.get(HISTORY_KEY)?.data)

/** Returns whether terminal states may exist under own keys, which a full read leaves out of memory. */
const usesOwnKeys = (context: ControllerContext, record: HistoryRecord | null): boolean =>
	record === null ? context.config.history !== null : record.legacy

/**
 * Leaves terminal states under own keys, which the first record format kept forever, out of full reads: 200,000 of them
 * take more memory than a controller has.
 */
export class TerminalStateRetention {
	/** whether any full read has left out terminal states of the first format */
	private hasOmittedStates = false
	/** revision of the response to the first request of the latest full read; -1: there was none */
	private latestFullReadRevision = -1

	/** `onOmitted`: called for every terminal state that a full read leaves out. */
	constructor(
		private readonly context: ControllerContext,
		private readonly onOmitted: (uid: string, record: JobRecord, revision: number) => void,
	) {}

	/** Returns the places that may hold terminal states that are not in memory. */
	searchScope(): SearchScope {
		const record = historyRecord(this.context)
		return {
			ownKeys: usesOwnKeys(this.context, record),
			hasOmittedStates: this.hasOmittedStates,
			archive: record !== null,
		}
	}

	/** Revision of the response to the first request of the latest full read; -1: there was none. */
	get fullReadRevision(): number {
		return this.latestFullReadRevision
	}

	/** Called when a full read begins; returns the filter that decides which records it retains. */
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

/** Decides which records one full read leaves out. Several reads may be in flight, each with its own filter. */
class TerminalStateFilter implements FullReadFilter {
	/** whether terminal states of the first format are left out */
	private omitsLegacyStates: boolean
	private hasOmittedCancellations = false
	/** jobs in the accepted batches read so far */
	private readonly jobsInBatches = new Set<string>()

	constructor(
		private readonly context: ControllerContext,
		private readonly onOmitted: (uid: string, record: JobRecord, revision: number) => void,
	) {
		this.omitsLegacyStates = usesOwnKeys(context, historyRecord(context))
	}

	/**
	 * Retains terminal states of jobs that an accepted batch still names or that are open in memory: without them the job
	 * would be open again. The batches and the record of the format precede job keys in key order.
	 */
	retains(key: string, data: unknown, modRevision: number): boolean {
		// Once no states of the first format are left, a terminal state under an own key is a cancellation to be deleted.
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

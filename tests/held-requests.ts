/**
 * Lets a test hold back requests of controllers to the fake state service, and write in between what other controllers
 * would write, with the same transactions.
 */
import assert from 'node:assert/strict'
import {
	decodeJobRecord,
	decodeTerminalPage,
	deletePages,
	jobKey,
	migrateTerminalRecords,
	terminalDoneCount,
	toTerminalJob,
} from '@heathroad/cluster'
import { type ArchivedJob, Archiver, ordinalOf } from '@heathroad/history'
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import type { FakeResponse, FakeStateStore } from '@heathroad/testkit'
import { encodeTransaction, parseRangeResponse } from '@heathroad/wire'
import { Effect } from 'effect'

/** A request of a controller that the state service has not executed yet. */
export interface HeldRequest {
	method: string
	path: string
	body: unknown
	/** index of the controller */
	client: number | null
	/** Executes the request now; `deliver` receives the response, which by default goes to the controller at once. */
	serve(deliver?: (response: FakeResponse) => void): void
	/** Sends a response to the controller. */
	reply(response: FakeResponse): void
}

type Handle = FakeStateStore['handle']

/** Passes every request to `onRequest`, which serves it then or later. Returns a handler that holds nothing back. */
export const holdRequests = (state: FakeStateStore, onRequest: (request: HeldRequest) => void): Handle => {
	const handle: Handle = state.handle.bind(state)
	state.handle = (method, path, body, reply, client = null) =>
		onRequest({
			method,
			path,
			body,
			client,
			reply,
			serve: (deliver = reply) => handle(method, path, body, deliver, client),
		})
	return handle
}

/** Limits a page to one state, so that the next one closes it. */
const ONE_STATE = { maxValueChars: 8000, maxJobs: 1 }
const ARCHIVE_LIMITS = { maxOperations: 8, maxValueChars: 8000, maxBytes: 40_000 }

/** Reads and writes the current records as another controller that owns the shard does. */
export class OtherController {
	constructor(
		private readonly handle: Handle,
		private readonly shardId: number,
	) {}

	private call(method: string, path: string, body?: unknown): FakeResponse {
		let response: FakeResponse | null = null
		this.handle(method, path, body, (received) => {
			response = received
		})
		assert.ok(response !== null, path)
		return response
	}

	private list(prefix: string, after: string | null, size: number) {
		const from = after === null ? '' : `&from=${after}`
		const page = parseRangeResponse(this.call('GET', `/store?under=${prefix}${from}&page=${size}`).body)
		assert.ok(page !== null)
		return page
	}

	/** The entry of a key, without its prefix. */
	get(key: string): { data: unknown; modRevision: number } | undefined {
		return this.list(KEY_PREFIX + key, null, 1).entries.find((entry) => entry.key === KEY_PREFIX + key)
	}

	modRevision(key: string): number {
		return this.get(key)?.modRevision ?? 0
	}

	/** Writes a transaction, which must succeed; returns its revision. */
	write({ conditions, mutations }: TransactionContent): number {
		const { status, body } = this.call('POST', '/txn', encodeTransaction(conditions, mutations))
		assert.equal(status, 200, JSON.stringify(body))
		return Number((body as { epoch: unknown }).epoch)
	}

	/** Moves a terminal state from its own key to a page, as the migration does; closes the previous page. */
	moveToPage(uid: string): void {
		const entry = this.get(jobKey(uid))
		const record = decodeJobRecord(entry?.data)
		assert.ok(entry !== undefined && record?.finalState !== undefined && record.resources !== undefined, uid)
		const spec = { ...record.resources, tasks: record.taskCount ?? 0 }
		const job = toTerminalJob(uid, record.finalState, spec, terminalDoneCount(record))
		const states = [{ job, modRevision: entry.modRevision }]
		this.write(migrateTerminalRecords(this, this.shardId, states, ONE_STATE).content)
	}

	/** Moves the closed pages to the archive, as the archival loop does; returns the revision of their deletion. */
	archivePages(): number {
		const prefix = `${KEY_PREFIX}over/${this.shardId}/`
		const pages = this.list(prefix, null, 100).entries
		assert.ok(pages.length > 0, 'pages to archive')
		const jobs = pages.flatMap(({ data, modRevision }) =>
			(decodeTerminalPage(data)?.batches ?? []).flatMap((batch) =>
				batch.jobs.map(
					({ uid, finalState, taskCount, doneCount }): ArchivedJob => ({
						ordinal: ordinalOf(uid),
						aborted: finalState === 'aborted',
						taskCount,
						doneCount,
						revision: batch.revision ?? modRevision,
					}),
				),
			),
		)
		const archiver = new Archiver({
			client: { list: (...request) => Effect.sync(() => this.list(...request)) },
			write: (conditions, mutations) =>
				Effect.sync(() => ({ kind: 'ok', revision: this.write({ conditions, mutations }) })),
			pace: () => Effect.void,
			isOwner: () => true,
			limits: ARCHIVE_LIMITS,
		})
		assert.equal(Effect.runSync(archiver.insert(1, jobs)), true)
		const keys = pages.map(({ key }) => key.slice(KEY_PREFIX.length))
		return this.write(deletePages(this, this.shardId, keys))
	}
}

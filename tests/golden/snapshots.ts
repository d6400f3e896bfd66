/**
 * Exports snapshots of a simulated state service as operators do, and checks and imports them.
 */
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Checker, exportState, IdSet, importState, openSnapshot, walk } from '@heathroad/inspect'
import { createStoreClient, type StoreClient } from '@heathroad/store'
import { FakeStateStore, VirtualClock } from '@heathroad/testkit'
import { decode, encode, type HttpClient, type HttpResponse } from '@heathroad/wire'
import { Effect } from 'effect'
import { fixturePath } from './fixtures.js'

const LIMITS = { requestsPerS: 100_000, maxTries: 1 }
const IMPORT_LIMITS = { ...LIMITS, changesPerS: 1e6, maxOperations: 8, maxTransactionBytes: 48 * 1024 }
const SHARDS = 3

const clientOf = (state: FakeStateStore): StoreClient => {
	const httpClient: HttpClient = {
		request: (_address, method, path, body) => {
			let response: HttpResponse = { status: 0, body: null, retryAfterS: null }
			const sent = body === undefined ? undefined : decode(encode(body))
			state.handle(method, path, sent, (reply) => {
				response = { ...reply, retryAfterS: null }
			})
			return Effect.succeed(response)
		},
	}
	return createStoreClient(httpClient, 'state:1', 1000, () => {})
}

/** The text of a snapshot. `betweenReads` runs between the reads of the keys and of the changes since. */
export const snapshotOf = async (
	state: FakeStateStore,
	betweenReads: () => void = () => {},
): Promise<string> => {
	const client = clientOf(state)
	const directory = mkdtempSync(join(tmpdir(), 'heathroad-golden-'))
	try {
		const path = join(directory, 'snapshot')
		const list: StoreClient['list'] = (prefix, from, size) =>
			Effect.tap(client.list(prefix, from, size), () => Effect.sync(betweenReads))
		await Effect.runPromise(exportState({ list, watch: client.watch }, path, LIMITS))
		return readFileSync(path, 'utf8')
	} finally {
		rmSync(directory, { recursive: true })
	}
}

/** Imports a snapshot into an empty state; returns the findings of the check there, and the exported state. */
export const checkImported = async (fixture: string): Promise<{ findings: unknown[]; imported: string }> => {
	const state = new FakeStateStore(new VirtualClock(1))
	const client = clientOf(state)
	await importState(client, await openSnapshot(fixturePath(fixture)), IMPORT_LIMITS)
	const checker = new Checker(SHARDS, await IdSet.create())
	const checkAll = walk(client, LIMITS, (entries) => {
		for (const entry of entries) checker.checkEntry(entry)
	})
	await Effect.runPromise(checkAll)
	checker.finish()
	return { findings: checker.findings, imported: await snapshotOf(state) }
}

/**
 * Snapshots of a simulated state: exported as operators do it, and taken through the check and the import.
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
const IMPORT = { ...LIMITS, changesPerS: 1e6, maxOperations: 8, maxTransactionBytes: 48 * 1024 }
const CONTROLLERS = 3

const clientOf = (state: FakeStateStore): StoreClient => {
	const caller: HttpClient = {
		request: (_address, method, path, body) => {
			let answer: HttpResponse = { status: 0, body: null, retryAfterS: null }
			const sent = body === undefined ? undefined : decode(encode(body))
			state.handle(method, path, sent, (told) => {
				answer = { ...told, retryAfterS: null }
			})
			return Effect.succeed(answer)
		},
	}
	return createStoreClient(caller, 'state:1', 1000, () => {})
}

/** The text of a snapshot. `meanwhile` is done between the reading of the keys and of what changed since. */
export const snapshotOf = async (
	state: FakeStateStore,
	meanwhile: () => void = () => {},
): Promise<string> => {
	const client = clientOf(state)
	const directory = mkdtempSync(join(tmpdir(), 'heathroad-golden-'))
	try {
		const path = join(directory, 'snapshot')
		const page: StoreClient['list'] = (under, from, size) =>
			Effect.tap(client.list(under, from, size), () => Effect.sync(meanwhile))
		await Effect.runPromise(exportState({ list: page, watch: client.watch }, path, LIMITS))
		return readFileSync(path, 'utf8')
	} finally {
		rmSync(directory, { recursive: true })
	}
}

/** What the check says of a snapshot's state, and the snapshot of the state into which it was imported. */
export const readableBy = async (fixture: string): Promise<{ findings: unknown[]; imported: string }> => {
	const state = new FakeStateStore(new VirtualClock(1))
	const client = clientOf(state)
	await importState(client, await openSnapshot(fixturePath(fixture)), IMPORT)
	const checker = new Checker(CONTROLLERS, await IdSet.create())
	const look = walk(client, LIMITS, (entries) => {
		for (const entry of entries) checker.checkEntry(entry)
	})
	await Effect.runPromise(look)
	checker.finish()
	return { findings: checker.findings, imported: await snapshotOf(state) }
}

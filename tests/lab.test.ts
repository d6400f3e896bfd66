import assert from 'node:assert/strict'
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import { ArchiveReader, jobIdOf } from '@heathroad/history'
import { generateOrdinals, InvalidExperiment, measureStart, putArchive, readExperiment } from '@heathroad/lab'
import { createStoreClient, RequestPacer } from '@heathroad/store'
import { FakeStateStore, VirtualClock } from '@heathroad/testkit'
import { type HttpClient, type HttpResponse, JOB_ID_PATTERN } from '@heathroad/wire'
import { Effect } from 'effect'

const dir = mkdtempSync(join(tmpdir(), 'heathroad-lab-test-'))
after(() => rmSync(dir, { recursive: true }))

test('an experiment file overrides defaults, and its errors are reported with their key', () => {
	const path = join(dir, 'x.ini')
	const read = (text: string) => {
		writeFileSync(path, text)
		return readExperiment(path)
	}
	const experiment = read(
		'[lab]\nfor_s = 20\ncontrollers = 5\n[troubles]\nat.3 = kill 0,4 2\nat.9 = outage 5\n',
	)
	assert.deepEqual(experiment.faults, [
		{ atS: 3, kind: 'kill', who: [0, 4], forS: 2 },
		{ atS: 9, kind: 'outage', who: [], forS: 5 },
	])
	assert.equal(experiment.forS, 20)
	assert.equal(experiment.state.writeRps, 15)
	for (const [text, message] of [
		['[lab]\nfor = 20\n', /lab\.for: no such key/],
		['[labs]\nfor_s = 20\n', /labs\.for_s: no such key/],
		['[lab]\nfor_s = soon\n', /lab\.for_s: must be a number/],
		['[troubles]\nat.3 = kill 7 2\n', /troubles\.at\.3/],
		['[troubles]\nat.3 = flood 2\n', /troubles\.at\.3/],
	] as const)
		assert.throws(
			() => read(text),
			(error: Error) => error instanceof InvalidExperiment && message.test(error.message),
			text,
		)
})

test('a generated archive: distinct job ids of every width in order, and the archive finds those of a sample', async () => {
	const ids = [...generateOrdinals(30_000, 5)]
	assert.equal(ids.length, 30_000)
	for (let i = 1; i < ids.length; i++) assert.ok(ids[i - 1] < ids[i], `${ids[i - 1]}, ${ids[i]}`)
	assert.ok(ids.every((ordinal) => JOB_ID_PATTERN.test(jobIdOf(ordinal))))
	const state = new FakeStateStore(new VirtualClock(1))
	const sample = putArchive(state, 30_000, 1024, 5, 150)
	const httpClient: HttpClient = {
		request: (_, method, path, body) => {
			let answer: HttpResponse = { status: 0, body: null, retryAfterS: null }
			state.handle(method, path, body, (response) => {
				answer = { ...response, retryAfterS: null }
			})
			return Effect.succeed(answer)
		},
	}
	const client = createStoreClient(httpClient, 'state:1', 1000, () => {})
	const archiveReader = new ArchiveReader(client, () => true, new RequestPacer(0, () => 0), {
		maxCacheChars: 100_000,
		maxPendingLookups: 1000,
		maxPagesPerRead: 16,
	})
	const found = await Effect.runPromise(
		Effect.forEach(sample, (page) => archiveReader.lookUp(jobIdOf(page.ordinal)), {
			concurrency: 'unbounded',
		}),
	)
	assert.deepEqual(found, sample)
})

test('a controller starts alike on none and on many finished jobs, archived or of the first form', async (t) => {
	const main = 'target/main.cjs'
	if (!existsSync(main)) return t.skip('main.cjs is not built')
	const build = { main, ini: 'deploy/history.ini' }
	const empty = await measureStart(build, 2, 0, false)
	const archived = await measureStart(build, 2, 30_000, false)
	// Held in memory, they would exceed the heap limit.
	const firstFormat = await measureStart(build, 1, 250_000, false)
	for (const start of [empty, archived, firstFormat])
		assert.ok(start.readyS !== null && start.unexpectedExits === 0, JSON.stringify(start))
	assert.ok(
		archived.requests <= empty.requests + 1 && archived.bytes <= empty.bytes * 1.1 + 100,
		JSON.stringify(archived),
	)
	assert.ok(firstFormat.peakMb < 146, `${firstFormat.peakMb} MB`)
})

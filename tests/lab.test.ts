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

test('experiments: what is given counts, the rest has defaults, typing errors are named', () => {
	const path = join(dir, 'x.ini')
	const read = (text: string) => {
		writeFileSync(path, text)
		return readExperiment(path)
	}
	const e = read('[lab]\nfor_s = 20\ncontrollers = 5\n[troubles]\nat.3 = kill 0,4 2\nat.9 = outage 5\n')
	assert.deepEqual(e.faults, [
		{ atS: 3, kind: 'kill', who: [0, 4], forS: 2 },
		{ atS: 9, kind: 'outage', who: [], forS: 5 },
	])
	assert.equal(e.forS, 20)
	assert.equal(e.state.writeRps, 15)
	for (const [text, said] of [
		['[lab]\nfor = 20\n', /lab\.for: no such key/],
		['[labs]\nfor_s = 20\n', /labs\.for_s: no such key/],
		['[lab]\nfor_s = soon\n', /lab\.for_s: must be a number/],
		['[troubles]\nat.3 = kill 7 2\n', /troubles\.at\.3/],
		['[troubles]\nat.3 = flood 2\n', /troubles\.at\.3/],
	] as const)
		assert.throws(
			() => read(text),
			(x: Error) => x instanceof InvalidExperiment && said.test(x.message),
			text,
		)
})

test('a made history: distinct ids of every width in order, all of which the archive answers', async () => {
	const ids = [...generateOrdinals(30_000, 5)]
	assert.equal(ids.length, 30_000)
	for (let i = 1; i < ids.length; i++) assert.ok(ids[i - 1] < ids[i], `${ids[i - 1]}, ${ids[i]}`)
	assert.ok(ids.every((at) => JOB_ID_PATTERN.test(jobIdOf(at))))
	const state = new FakeStateStore(new VirtualClock(1))
	const sample = putArchive(state, 30_000, 1024, 5, 150)
	const caller: HttpClient = {
		request: (_, method, path, body) => {
			let answer: HttpResponse = { status: 0, body: null, retryAfterS: null }
			state.handle(method, path, body, (r) => {
				answer = { ...r, retryAfterS: null }
			})
			return Effect.succeed(answer)
		},
	}
	const client = createStoreClient(caller, 'state:1', 1000, () => {})
	const recall = new ArchiveReader(client, () => true, new RequestPacer(0, () => 0), {
		maxCacheChars: 100_000,
		maxPendingLookups: 1000,
		maxPagesPerRead: 16,
	})
	const found = await Effect.runPromise(
		Effect.forEach(sample, (p) => recall.lookUp(jobIdOf(p.ordinal)), { concurrency: 'unbounded' }),
	)
	assert.deepEqual(found, sample)
})

test('a controller starts alike on none and on many finished jobs, archived or of the first form', async (t) => {
	const main = 'target/main.cjs'
	if (!existsSync(main)) return t.skip('there is no build')
	const build = { main, ini: 'deploy/history.ini' }
	const none = await measureStart(build, 2, 0, false)
	const archived = await measureStart(build, 2, 30_000, false)
	// Held in memory they are more than the heap takes.
	const old = await measureStart(build, 1, 250_000, false)
	for (const f of [none, archived, old])
		assert.ok(f.readyS !== null && f.unexpectedExits === 0, JSON.stringify(f))
	assert.ok(
		archived.requests <= none.requests + 1 && archived.bytes <= none.bytes * 1.1 + 100,
		JSON.stringify(archived),
	)
	assert.ok(old.peakMb < 146, `${old.peakMb} MB`)
})

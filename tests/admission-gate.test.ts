import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type JobRecord, markReleased, releasePageKey } from '@heathroad/cluster'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { type AdmissionChecks, Shard, type ShardDependencies, type Verdict } from '@heathroad/controller'
import { arrayJob, idleDependencies, plainSettings } from '@heathroad/testkit'

interface ShardHarness {
	readonly shard: Shard
	/** number of calls that the shard made to its dependencies */
	dependencyCallCount: number
	/** job of each query to an admission check, in order */
	readonly queriedUids: readonly string[]
	/** uids on each release page that was written */
	readonly writtenPages: readonly string[][]
	/** advances the clock and ticks the shard */
	advance(ms: number): void
	/** accepts `count` jobs, numbered from `firstNumber`, that wait for the release by each of `requiredChecks` */
	addJobs(count: number, firstNumber: number, requiredChecks: readonly string[]): void
}

const TICK_MS = 250
const WALL_CLOCK_START_MS = 1_700_000_000_000

const uidOf = (number: number): string => `job-${String(number).padStart(6, '0')}`

/** Starts a shard whose calls to its dependencies are counted. `verdictFor` is the admission check. */
const startShard = (
	verdictFor: (uid: string, earlierQueries: number) => Verdict,
	{ grouped } = { grouped: false },
): ShardHarness => {
	const settings = plainSettings('a')
	const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }
	const jobs = new Map<string, { record: JobRecord; modRevision: number }>()
	const keys = new Map<string, { data: unknown; modRevision: number }>()
	const releasedUids = new Set<string>()
	const queriedUids: string[] = []
	const writtenPages: string[][] = []
	let nowMs = 0
	const checks: AdmissionChecks = {
		required: () => [],
		admit: (_spec, done) => done(null, []),
		checkSettings: () => ({ maxHoldMs: 600_000, whenUnsure: 'hold', grouped }),
		requestVerdict: (_name, spec, context, done) => {
			queriedUids.push(spec.uid)
			done(verdictFor(spec.uid, context.asked))
		},
	}
	const uncountedDependencies = idleDependencies({
		now: () => nowMs,
		wallClockMs: () => WALL_CLOCK_START_MS + nowMs,
		entry: (key) => keys.get(key),
		job: (uid) => jobs.get(uid),
		checks: () => checks,
		isPendingRelease: (uid, record) => (record.requiredChecks?.length ?? 0) > 0 && !releasedUids.has(uid),
		keepsReleaseMark: () => true,
		openJobs: () => jobs.keys(),
		applyOwnWrite: (key, data, modRevision) => {
			keys.set(key, { data, modRevision })
			const { uids } = data as { uids: string[] }
			writtenPages.push(uids)
			for (const uid of uids) releasedUids.add(uid)
			shard.onJobsReleased(uids)
		},
		enqueueWrite: (write) => {
			const content = write.build()
			write.onResult(content === null ? { kind: 'refused' } : { kind: 'ok', revision: 9 })
			return { ...write, deadline: 0 }
		},
	})
	const dependencies = new Proxy(uncountedDependencies, {
		get: (target, name) => {
			const dependency = target[name as keyof ShardDependencies]
			if (typeof dependency !== 'function') return dependency
			return (...args: unknown[]) => {
				harness.dependencyCallCount++
				return (dependency as (...args: unknown[]) => unknown)(...args)
			}
		},
	})
	const harness: Omit<ShardHarness, 'shard'> = {
		dependencyCallCount: 0,
		queriedUids,
		writtenPages,
		advance: (ms) => {
			for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
				nowMs += TICK_MS
				shard.tick()
			}
		},
		addJobs: (count, firstNumber, requiredChecks) => {
			for (let number = firstNumber; number < firstNumber + count; number++) {
				const spec = arrayJob(uidOf(number), { tasks: 2 })
				const acceptedAtMs = WALL_CLOCK_START_MS + nowMs
				const record = { shardId: 0, spec, acceptedAtMs, requiredChecks }
				jobs.set(spec.uid, { record, modRevision: 0 })
				shard.onJobChanged(spec.uid, record)
			}
		},
	}
	const shard = new Shard(0, 3, config, dependencies)
	return Object.assign(harness, { shard })
}

const hold = (againS: number): Verdict => ({ kind: 'hold', why: 'not yet', againMs: againS * 1000 })

test('a scheduling round makes as many calls with 5,000 held jobs as with none', () => {
	const countDependencyCalls = (heldCount: number) => {
		const harness = startShard(() => hold(600))
		harness.addJobs(30, 0, [])
		harness.addJobs(heldCount, 1000, ['one'])
		harness.advance(1000)
		harness.dependencyCallCount = 0
		harness.advance(10_000)
		assert.equal(harness.shard.pendingReleaseCount, heldCount)
		assert.equal(harness.shard.jobs.size, 30)
		return harness.dependencyCallCount
	}
	assert.equal(countDependencyCalls(5000), countDependencyCalls(0))
})

test('a check is queried again after the delay that it requested', () => {
	const harness = startShard((_uid, earlierQueries) => (earlierQueries < 3 ? hold(5) : { kind: 'release' }))
	harness.addJobs(200, 0, ['one'])
	harness.advance(30_000)
	assert.equal(harness.queriedUids.length, 800, 'four queries for each job')
	assert.equal(harness.shard.pendingReleaseCount, 0)
	assert.equal(harness.shard.jobs.size, 200)
})

test('one query for all jobs of a class: hundreds of jobs, a few queries', () => {
	const harness = startShard((_uid, earlierQueries) => (earlierQueries < 6 ? hold(5) : { kind: 'release' }), {
		grouped: true,
	})
	for (let burst = 0; burst < 10; burst++) {
		harness.addJobs(50, burst * 50, ['one'])
		harness.advance(500)
	}
	harness.advance(40_000)
	assert.equal(harness.shard.pendingReleaseCount, 0)
	assert.ok(harness.queriedUids.length < 25, `${harness.queriedUids.length} queries`)
})

test('a job waits for all of its checks, and each job is marked as released once', () => {
	const harness = startShard((uid, earlierQueries) =>
		Number(uid.slice(-1)) > earlierQueries ? hold(1) : { kind: 'release' },
	)
	harness.addJobs(100, 0, ['one', 'two'])
	harness.advance(60_000)
	assert.equal(harness.shard.pendingReleaseCount, 0)
	const lastPage = harness.writtenPages.at(-1) ?? []
	assert.equal(new Set(lastPage).size, 100)
	assert.equal(lastPage.length, 100)
})

test('release marks share pages: marks that are still needed, then as many new ones as fit', () => {
	const uids = (from: number, to: number) => Array.from({ length: to - from }, (_, i) => uidOf(from + i))
	const page = (number: number, list: string[], modRevision: number) =>
		[releasePageKey(0, number), { data: { uids: list }, modRevision }] as const
	const recordReader = (pages: readonly ReturnType<typeof page>[]) => {
		const entries = new Map<string, { data: unknown; modRevision: number }>(pages)
		return {
			get: (key: string) => entries.get(key),
			modRevision: (key: string) => entries.get(key)?.modRevision ?? 0,
		}
	}
	// Room for nine uids of 10 characters, each with quotes and a comma, plus the characters of the page itself.
	const limits = { maxPageChars: 16 + 9 * 13 + 5, maxPages: 3 }
	const cases: {
		name: string
		pages: ReturnType<typeof page>[]
		marksStay: boolean
		newMarks: number
		/** marks on each page that is written */
		want: { kept: number; added: number }[]
	}[] = [
		{ name: 'on a first page', pages: [], marksStay: true, newMarks: 4, want: [{ kept: 0, added: 4 }] },
		{
			name: 'next to marks that are still needed',
			pages: [page(0, uids(50, 56), 7)],
			marksStay: true,
			newMarks: 3,
			want: [{ kept: 6, added: 3 }],
		},
		{
			name: 'in place of marks that are no longer needed',
			pages: [page(0, uids(50, 59), 7)],
			marksStay: false,
			newMarks: 3,
			want: [{ kept: 0, added: 3 }],
		},
		{
			name: 'on the next page if one is full',
			pages: [page(0, uids(50, 59), 7)],
			marksStay: true,
			newMarks: 3,
			want: [{ kept: 0, added: 3 }],
		},
		{
			name: 'on up to the number of pages that one transaction may write',
			pages: [],
			marksStay: true,
			newMarks: 60,
			want: [
				{ kept: 0, added: 9 },
				{ kept: 0, added: 9 },
				{ kept: 0, added: 9 },
			],
		},
	]
	for (const { name, pages, marksStay, newMarks, want } of cases) {
		const { content, taken } = markReleased(
			recordReader(pages),
			0,
			uids(0, newMarks),
			() => marksStay,
			limits,
		)
		const sizes = content.mutations.map((mutation) =>
			'set' in mutation ? (mutation.data as { uids: string[] }).uids.length : 0,
		)
		const wantedSizes = want.map(({ kept, added }) => kept + added)
		const wantedTaken = want.reduce((sum, { added }) => sum + added, 0)
		assert.deepEqual(sizes, wantedSizes, name)
		assert.equal(taken.length, Math.min(newMarks, wantedTaken), name)
		assert.equal(content.conditions.length, content.mutations.length, name)
	}
})

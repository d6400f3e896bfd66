/** When terminal states move from memory to the archive: pages one by one, and whole simulated days with faults. */

import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	appendToPage,
	decodeTerminalPage,
	encodeTerminalPage,
	type TerminalJob,
	toTerminalJob,
	withRevisions,
} from '@heathroad/cluster'
import { archivablePages, mayAdvanceArchivalEpoch } from '@heathroad/server'
import { KEY_PREFIX } from '@heathroad/store'
import { arrayJob, Simulation } from '@heathroad/testkit'

const terminalJob = (index: number, overrides: Partial<TerminalJob> = {}): TerminalJob => ({
	...toTerminalJob(
		`job-${String(index).padStart(6, '0')}`,
		'done',
		{ team: 'core', cpus: 1, gpus: 0, ramGb: 1, tasks: 3 },
		3,
	),
	...overrides,
})

test('terminal pages: batches keep their revisions when jobs are appended and pages are closed', () => {
	let openPage: { data: unknown; modRevision: number } | undefined
	const closedPages: unknown[] = []
	const revisions = new Map<string, number>()
	for (let index = 0, revision = 10; index < 60; revision += 3) {
		const jobs = Array.from({ length: 1 + (revision % 4) }, (_, i) => terminalJob(index + i))
		const { changes, taken } = appendToPage(0, openPage, jobs, { maxValueChars: 700, maxJobs: 9 })
		assert.ok(taken > 0)
		for (const job of jobs.slice(0, taken)) revisions.set(job.uid, revision)
		index += taken
		for (const { key, data } of changes) {
			assert.ok(JSON.stringify(data).length <= 700)
			if (key === 'over/0') openPage = { data, modRevision: revision }
			else closedPages.push(data)
		}
	}
	const pages = [
		...closedPages.map((data) => decodeTerminalPage(data)!),
		withRevisions(decodeTerminalPage(openPage!.data)!, openPage!.modRevision),
	]
	const stored = pages.flatMap((page) =>
		page.batches.flatMap((batch) => batch.jobs.map((job) => [job.uid, batch.revision] as const)),
	)
	assert.deepEqual(new Map(stored), revisions)
	assert.equal(stored.length, revisions.size)
})

test('an invalid terminal page is moved to another key instead of overwritten, and is never archived', () => {
	const invalid = { part: 0, over: [[1], 7] }
	const { changes, taken } = appendToPage(0, { data: invalid, modRevision: 9 }, [terminalJob(1)], {
		maxValueChars: 700,
		maxJobs: 9,
	})
	assert.equal(taken, 1)
	assert.deepEqual(changes[0], { key: 'over/0/9', data: invalid })
	assert.equal(decodeTerminalPage(changes[1].data)?.batches.length, 1)
	const pages = [{ key: 'over/0/9', modRevision: 10, jobs: [] }]
	assert.deepEqual(archivablePages(pages, 99, new Set(), new Set(), 0), [])
})

test('which pages may be archived, and when an archival epoch begins', () => {
	const page = (key: string, ...jobs: [uid: string, revision: number][]) => ({
		key,
		modRevision: 1,
		jobs: jobs.map(([uid, revision]) => ({ uid, revision })),
	})
	const a = page('a', ['job-1', 5], ['job-2', 6])
	const b = page('b', ['job-3', 7])
	const c = page('c', ['job-4', 9])
	for (const [description, epoch, referenced, onMachines, batch, keys] of [
		['all jobs are older than the archival epoch', 8, [], [], 2, ['a', 'b']],
		['too few jobs for a batch', 8, [], [], 4, []],
		['another record names a job: its page stays, the next page is archived', 8, ['job-2'], [], 1, ['b']],
		['an attempt of a job may still be on a machine', 8, [], ['job-3'], 1, ['a']],
		['a job has the revision of the archival epoch', 7, [], [], 1, ['a']],
		['before any archival epoch', 0, [], [], 1, []],
	] as const)
		assert.deepEqual(
			archivablePages([a, b, c], epoch, new Set<string>(referenced), new Set<string>(onMachines), batch).map(
				(p) => p.key,
			),
			keys,
			description,
		)
	assert.equal(mayAdvanceArchivalEpoch([5, 6, 9], 5, 1000, 900, 3), true)
	assert.equal(mayAdvanceArchivalEpoch([5, 6, 9], 6, 1000, 900, 3), false, 'a job is older than the epoch')
	assert.equal(mayAdvanceArchivalEpoch([5, 6, 9], 5, 800, 900, 3), false, 'too soon')
})

const submittedJobs = (count: number, intervalS: number) =>
	Array.from({ length: count }, (_, i) => ({
		atS: 1 + i * intervalS,
		spec: arrayJob(`job-${String(i * 7717 + 100_003).padStart(6 + (i % 3) * 4, '0')}`, {
			tasks: 1 + (i % 4),
			cpus: 0.5,
			expectedS: 4,
		}),
		...(i % 7 === 3 ? { cancelAtS: 4 + i * intervalS } : {}),
	}))

test('on days with crashes, partitions and outages jobs are archived, and each is reported with its terminal state', async () => {
	for (const [seed, faults] of [
		[
			71,
			[
				{ atS: 60, kind: 'crash', who: [0] },
				{ atS: 130, kind: 'crash', who: [0, 1, 2] },
			],
		],
		[
			72,
			[
				{ atS: 70, kind: 'stateDown', forS: 12 },
				{ atS: 120, kind: 'cut', who: [1], from: 'state', forS: 20 },
				{ atS: 160, kind: 'freeze', who: [2], forS: 15 },
			],
		],
	] as const) {
		const jobs = submittedJobs(150, 1)
		const simulation = new Simulation({ seed, untilS: 420, capacity: 8, jobs, faults, loss: 0.01 })
		let archived = 0
		simulation.onLogLine = (line) => {
			if (line.includes(' jobs archived ')) archived += Number(/"jobs":(\d+)/.exec(line)?.[1])
		}
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [], `seed ${seed}`)
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], `seed ${seed}`)
		assert.ok(archived > 75, `${archived} of 150 jobs were archived`)
		assert.ok(
			simulation.state.countKeys('heathroad/') < 100,
			`${simulation.state.countKeys('heathroad/')} watched keys`,
		)
		assert.ok(simulation.state.countKeys('heathroad-past/') > 0)
	}
})

test('records of the first format are migrated while the service runs and crashes, and no terminal state is lost', async () => {
	const jobs = submittedJobs(30, 2)
	const simulation = new Simulation({
		seed: 73,
		untilS: 500,
		jobs,
		faults: [{ atS: 40, kind: 'crash', who: [0, 1] }],
	})
	const legacyIds = Array.from({ length: 400 }, (_, i) => `job-${String(i * 104_729 + 17).padStart(9, '0')}`)
	for (const [i, uid] of legacyIds.entries()) {
		const final = i % 5 === 0 ? 'aborted' : 'done'
		const need = { team: 'core', cpus: 1, gpus: 0, ramGb: 1 }
		simulation.state.put(`${KEY_PREFIX}job/${uid}`, {
			part: i % 3,
			final,
			tasks: 4,
			need,
			...(final === 'aborted' ? { count: 2 } : {}),
		})
	}
	const wrongReplies: string[] = []
	let replyCount = 0
	const queryStatus = (atS: number) =>
		simulation.clock.after(atS * 1000, () => {
			const i = (atS * 37) % legacyIds.length
			void simulation.sendRequest(atS % 3, 'GET', `/v2/runs/${legacyIds[i]}`, undefined).then((reply) => {
				if (reply === null || reply.status === 503) return
				replyCount++
				const { status, done } = reply.body as { status?: string; done?: number }
				if (status !== (i % 5 === 0 ? 'aborted' : 'done') || done !== (i % 5 === 0 ? 2 : 4))
					wrongReplies.push(`${legacyIds[i]} at ${atS}: ${reply.status} ${status} ${done}`)
			})
		})
	for (let atS = 5; atS < 495; atS += 2) queryStatus(atS)
	const jobKeysAfterStart: number[] = []
	simulation.onStarted = (_, node) => {
		simulation.clock.after(5000, () => jobKeysAfterStart.push([...node.cache.withPrefix('job/')].length))
	}
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [])
	assert.deepEqual(wrongReplies, [])
	assert.ok(replyCount > 150, `${replyCount} replies`)
	assert.ok(Math.max(...jobKeysAfterStart) < 50, `job keys in memory after each start: ${jobKeysAfterStart}`)
	assert.equal(simulation.state.countKeys(`${KEY_PREFIX}job/`), 0, 'all records are migrated')
	assert.ok(simulation.state.countKeys('heathroad-past/') > 0)
})

/**
 * Versions before incident 37 could record two terminal states of one job. The archive refuses such a pair, so that no page
 * of the shard left memory any more.
 */
test('two terminal states of one job that an earlier version recorded do not stop the archive', async () => {
	const TWICE = 'job-000001'
	const simulation = new Simulation({ seed: 75, untilS: 240, jobs: [], faults: [] })
	const errors: string[] = []
	simulation.onLogLine = (line) => {
		if (line.includes('archival failed')) errors.push(line)
	}
	const states = (shardId: number, finalState: 'done' | 'aborted') =>
		[TWICE, ...Array.from({ length: 12 }, (_, index) => `job-${shardId + 1}000${10 + index}`)].map((uid) =>
			toTerminalJob(
				uid,
				uid === TWICE ? finalState : 'done',
				arrayJob(uid, { tasks: 4 }),
				uid === TWICE ? 2 : 4,
			),
		)
	simulation.state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: false })
	for (const [shardId, finalState] of [
		[0, 'aborted'],
		[1, 'done'],
	] as const) {
		const page = { shardId, batches: [{ revision: shardId + 2, jobs: states(shardId, finalState) }] }
		simulation.state.put(`${KEY_PREFIX}over/${shardId}/${shardId + 2}`, encodeTerminalPage(page))
	}
	const answers: unknown[] = []
	const query = (controller: number) =>
		void simulation
			.sendRequest(controller, 'GET', `/v2/runs/${TWICE}`, undefined)
			.then((reply) => answers.push((reply?.body as { status?: string })?.status))
	for (const atS of [10, 235])
		simulation.clock.after(atS * 1000, () => {
			for (const controller of [0, 1, 2]) query(controller)
		})
	await simulation.run()
	assert.deepEqual(errors, [])
	assert.equal(simulation.state.countKeys(`${KEY_PREFIX}over/`), 0, 'all pages are archived')
	assert.deepEqual(answers, Array(6).fill('aborted'))
})

test('records of a later format are rejected', async () => {
	const simulation = new Simulation({ seed: 74, untilS: 20, jobs: [], faults: [] })
	simulation.state.put(`${KEY_PREFIX}history`, { form: 3, turn: 1 })
	const reasons: string[] = []
	simulation.onStarted = (_, node) => {
		node.onUnsupportedFormat = (reason) => reasons.push(reason)
	}
	simulation.onLogLine = () => {}
	await simulation.run()
	assert.ok(reasons.length >= 3)
	assert.match(reasons[0], /form 3, which this version does not know/)
})

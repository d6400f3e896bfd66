import assert from 'node:assert/strict'
import { mkdir, mkdtemp, readFile, rm, symlink, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { readOperatorSettings } from '@heathroad/config'
import { InvalidAnswer, readAdmission, readManifest, readRelease, tryPlugin } from '@heathroad/plugin-api'
import {
	CircuitBreaker,
	digestOf,
	FaultAttribution,
	PluginSlot,
	scanDirectory,
	scanFolder,
} from '@heathroad/plugins'
import { type FakeCall, type FakeVersion, fakeSeating, VirtualClock } from '@heathroad/testkit'

test('a circuit breaker opens, makes trial calls and closes', () => {
	const settings = {
		consecutiveFailures: 3,
		failuresInWindow: 4,
		window: 10,
		openMs: 100,
		maxOpenMs: 400,
		trialCalls: 2,
	}
	// One letter for each call, 50 ms apart: s succeeded, f failed; the states before each call and at the end.
	const rows: [name: string, outcomes: string, states: string][] = [
		['consecutive failures', 'fff', 'ccco'],
		['a success in between', 'ffsf', 'ccccc'],
		['every other call fails', 'fsfsfsf', 'ccccccco'],
		['half open after a time, closed after its trial calls', 'fff..ssf', 'cccohhhcc'],
		['a failed trial call opens it for twice as long', 'fff..f....s', 'cccohhooohhh'],
	]
	for (const [name, outcomes, want] of rows) {
		const breaker = new CircuitBreaker(settings)
		let states = ''
		let now = 0
		for (const outcome of `${outcomes} `) {
			states += breaker.state(now)[0]
			if (outcome === 's') breaker.recordSuccess()
			else if (outcome === 'f') breaker.recordFailure(now)
			now += 50
		}
		assert.equal(states, want, name)
	}
})

test('a job that fails repeatedly while others succeed is at fault itself', () => {
	const faults = new FaultAttribution()
	faults.recordFailure('job-1')
	faults.recordFailure('job-1')
	assert.equal(faults.isSubjectAtFault('job-1'), false, 'no other job succeeded meanwhile')
	faults.recordSuccess('job-2')
	assert.equal(faults.isSubjectAtFault('job-1'), true)
	assert.equal(faults.isSubjectAtFault('job-3'), false)
	faults.recordSuccess('job-1')
	assert.equal(faults.isSubjectAtFault('job-1'), false)
	for (let i = 0; i < 5000; i++) faults.recordFailure(`job-${i}`)
	assert.equal(faults.failureCount('job-0'), 0, 'the oldest are forgotten')
})

const manifest = (changes: Record<string, unknown> = {}) => ({
	name: 'payout-check',
	version: '1.0.0',
	api: 1,
	main: 'index.js',
	digest: `sha256-${'0'.repeat(64)}`,
	hooks: ['release'],
	...changes,
})

test('manifests are validated', () => {
	const rows: [name: string, text: string, field: string | null | undefined][] = [
		['valid', JSON.stringify(manifest()), undefined],
		['not JSON', '{', null],
		['not a map', '[]', null],
		['a future version of the API', JSON.stringify(manifest({ api: 2 })), 'api'],
		['a path out of the folder', JSON.stringify(manifest({ main: '../index.js' })), 'main'],
		['no hook', JSON.stringify(manifest({ hooks: [] })), 'hooks'],
		['an unknown hook', JSON.stringify(manifest({ hooks: ['refund'] })), 'hooks.0'],
		['no version', JSON.stringify(manifest({ version: 'new' })), 'version'],
		['an unknown field', JSON.stringify(manifest({ class: ['a'] })), 'class'],
		['no digest', JSON.stringify({ ...manifest(), digest: undefined }), 'digest'],
	]
	for (const [name, text, field] of rows) {
		const read = readManifest(text)
		assert.equal('field' in read ? read.field : undefined, field, name)
	}
})

test('answers are validated', async () => {
	assert.deepEqual(readAdmission({ pass: true }), { pass: true })
	assert.deepEqual(readAdmission({ refuse: ' no ' }), { refuse: 'no' })
	assert.deepEqual(readRelease({ hold: 'later', againS: 1e9 }), { hold: 'later', againS: 600 })
	for (const answer of [
		undefined,
		null,
		true,
		{},
		{ pass: 1 },
		{ refuse: '' },
		{ pass: true, refuse: 'x' },
		[],
	])
		assert.ok(readAdmission(answer) instanceof InvalidAnswer, JSON.stringify(answer))
	for (const answer of [
		{ release: false },
		{ hold: 5 },
		{ hold: 'x', againS: Number.NaN },
		{ hold: 'x', until: 1 },
	])
		assert.ok(readRelease(answer) instanceof InvalidAnswer, JSON.stringify(answer))
	const tried = tryPlugin({ release: () => ({ hold: '' }) })
	await assert.rejects(tried.release())
	await assert.rejects(tried.admit(), /neither/)
})

const writePlugin = async (
	dir: string,
	folder: string,
	source: string,
	changes: Record<string, unknown> = {},
) => {
	await mkdir(join(dir, folder), { recursive: true })
	await writeFile(join(dir, folder, 'index.js'), source)
	const digest = digestOf(Buffer.from(source))
	await writeFile(
		join(dir, folder, 'plugin.json'),
		JSON.stringify(manifest({ name: folder, digest, ...changes })),
	)
}

test('a directory of plug-ins: an invalid one is reported with its file and field, the others are loaded', async () => {
	const base = await mkdtemp(join(tmpdir(), 'plugins-'))
	const dir = join(base, 'in')
	try {
		await writePlugin(dir, 'good', 'export const release = () => ({ release: true })')
		await writePlugin(dir, 'wrong-digest', 'one')
		await writeFile(join(dir, 'wrong-digest', 'index.js'), 'another')
		await writePlugin(dir, 'future', '', { api: 99 })
		await mkdir(join(dir, 'empty'))
		await writePlugin(dir, 'twin-a', '', { name: 'twin' })
		await writePlugin(dir, 'twin-b', '', { name: 'twin' })
		await writePlugin(base, 'outside', '')
		await symlink(join(base, 'outside'), join(dir, 'linked'))
		await writePlugin(dir, 'linked-main', '')
		await rm(join(dir, 'linked-main', 'index.js'))
		await symlink(join(base, 'outside', 'index.js'), join(dir, 'linked-main', 'index.js'))
		await writePlugin(dir, 'large', 'x'.repeat(600 * 1024))
		await writeFile(join(dir, 'README'), 'no folder')
		const { found, problems } = await scanDirectory(dir, readManifest)
		assert.deepEqual(
			found.map((f) => f.manifest.name),
			['good'],
		)
		const problemByFile = Object.fromEntries(
			problems.map((p) => [p.file.slice(dir.length + 1), `${p.field}: ${p.why}`]),
		)
		const rows: [file: string, what: RegExp][] = [
			['wrong-digest/plugin.json', /^digest: the bytes of index.js have sha256-/],
			['future/plugin.json', /^api: /],
			['empty/plugin.json', /cannot be read \(ENOENT\)/],
			['twin-a/plugin.json', /^name: twin stands in 2 folders/],
			['twin-b/plugin.json', /^name: twin stands in 2 folders/],
			['linked/plugin.json', /leads out of the directory/],
			['linked-main/index.js', /leads out of the directory/],
			['large/index.js', /longer than 512 KiB/],
		]
		for (const [file, what] of rows) assert.match(problemByFile[file] ?? 'nothing', what, file)
		assert.equal(problems.length, rows.length)
		assert.ok('manifest' in (await scanFolder(join(dir, 'good'), readManifest)))
		const nowhere = await scanDirectory(join(dir, 'nowhere'), readManifest)
		assert.match(nowhere.problems[0].why, /cannot be read \(ENOENT\)/)
	} finally {
		await rm(base, { recursive: true })
	}
})

const release = { release: true }
const working = (version: string): FakeVersion => ({ version, behave: (call) => call.answer(release) })

interface PendingResult {
	result: string | null
	atMs: number
}

/** A slot with fake versions in virtual time. */
interface SlotScenario {
	clock: VirtualClock
	slot: PluginSlot
	/** names of the logged events */
	loggedEvents: string[]
	offer(version: FakeVersion | null): void
	/** calls the plug-in for a job; the result is set once it is there */
	ask(uid: string): PendingResult
}

const runScenario = async (run: (scenario: SlotScenario) => void, untilMs = 60_000): Promise<void> => {
	const clock = new VirtualClock(1)
	const versions = new Map<string, FakeVersion>()
	const loggedEvents: string[] = []
	await clock.run(untilMs, () => {
		const settings = { permissions: { node: false, memoryMb: 8 }, classes: null, teams: null }
		const slot = new PluginSlot('one', settings, {
			startRuntime: fakeSeating(clock, 0, (_, version) => versions.get(version)!),
			now: () => clock.nowMs,
			log: (_, event) => loggedEvents.push(event),
		})
		run({
			clock,
			slot,
			loggedEvents,
			offer: (fake) => {
				if (fake === null) return slot.applyScan(null)
				const { version } = fake
				versions.set(version, fake)
				const offered = { ...manifest({ version, digest: `sha256-${version}` }), hooks: ['release' as const] }
				slot.applyScan({ manifest: offered, source: '', folder: '' })
			},
			ask: (uid) => {
				const pending: PendingResult = { result: null, atMs: 0 }
				slot.callHook(
					'release',
					[{ uid }, {}],
					{ subject: uid, tryTimeoutMs: 200, timeoutMs: 4000 },
					(result) => {
						assert.equal(pending.result, null, 'answered twice')
						pending.result =
							result.kind === 'answer' ? Object.keys(result.value as object)[0] : `unsure: ${result.why}`
						pending.atMs = clock.nowMs
					},
				)
				return pending
			},
		})
	})
}

test('faulty plug-ins: each call has one result, an answer or the reason why there is none', async () => {
	const rows: [name: string, behave: (call: FakeCall) => void, want: RegExp, mostMs: number][] = [
		['answers', (call) => call.answer(release), /^release$/, 50],
		['answers twice', (call) => [5, 10].map((ms) => call.answer(release, ms)), /^release$/, 50],
		['never answers', () => {}, /no answer within 200 ms/, 400],
		['answers too late', (call) => call.answer(release, 900), /no answer within 200 ms/, 400],
		['answers something invalid', (call) => call.answer({ release: 'yes' }), /neither/, 50],
		['throws', (call) => call.fail('Error: no'), /Error: no/, 50],
		['crashes', (call) => call.crash('out of memory'), /out of memory/, 50],
	]
	for (const [name, behave, want, mostMs] of rows)
		await runScenario((scenario) => {
			scenario.offer({ version: '1', behave })
			scenario.clock.after(100, () => {
				const pending = scenario.ask('job-1')
				scenario.clock.after(mostMs, () => assert.match(pending.result ?? 'nothing', want, name))
			})
		}, 5000)
})

test('a slot that ended has no timer of its opened circuit left', async () => {
	const timers: { gone: boolean; atMs: number }[] = []
	await runScenario(({ clock, slot, offer, ask, loggedEvents }) => {
		offer({ version: '1', behave: (call) => call.fail('Error: no') })
		clock.after(100, () => {
			for (let index = 0; index < 6; index++) ask(`job-${index}`)
		})
		const { setTimeout: setVirtualTimeout } = globalThis
		globalThis.setTimeout = ((...args: Parameters<typeof setTimeout>) => {
			const timer = setVirtualTimeout(...args)
			timers.push(timer as unknown as { gone: boolean; atMs: number })
			return timer
		}) as typeof setTimeout
		clock.after(600, () => {
			assert.ok(loggedEvents.includes('plug-in circuit opened'))
			slot.end()
			assert.deepEqual(
				timers.filter(({ gone, atMs }) => !gone && atMs > clock.nowMs),
				[],
			)
		})
	}, 5000)
	assert.ok(timers.length > 0)
})

test('a plug-in that hangs for one job answers for all others', async () => {
	const results: { result: string | null }[] = []
	await runScenario((scenario) => {
		scenario.offer({
			version: '1',
			behave: (call) => (call.job.uid === 'job-bad' ? undefined : call.answer(release)),
		})
		for (let i = 0; i < 60; i++)
			scenario.clock.after(1000 + i * 900, () => {
				scenario.ask('job-bad')
				results.push(scenario.ask(`job-${i}`))
			})
	})
	const answered = results.filter((each) => each.result === 'release').length
	assert.ok(answered >= 58, `${answered} of 60`)
})

test('a plug-in that fails every other call is suspended most of the time', async () => {
	let calls = 0
	let asked = 0
	await runScenario((scenario) => {
		scenario.offer({
			version: '1',
			behave: (call) => (calls++ % 2 === 0 ? call.answer(release) : call.fail('no')),
		})
		for (let i = 0; i < 500; i++)
			scenario.clock.after(1000 + i * 100, () => {
				asked++
				scenario.ask(`job-${i}`)
			})
	})
	assert.ok(calls > 10 && calls < asked / 4, `${calls} of ${asked}`)
})

test('upgrades: pending calls move on, a call under way ends at its version, a faulty version is rolled back', async () => {
	const rows: { name: string; next: FakeVersion | null; version: string | null; events: string[] }[] = [
		{ name: 'a working version', next: working('2'), version: '2', events: ['plug-in version kept'] },
		{
			name: 'cannot be loaded',
			next: { version: '2', behave: null },
			version: '1',
			events: ['plug-in version rejected'],
		},
		{
			name: 'fails its first calls',
			next: { version: '2', behave: (call) => call.fail('new fault') },
			version: '1',
			events: ['plug-in version active', 'plug-in version rejected'],
		},
		{
			name: 'hangs',
			next: { version: '2', behave: () => {} },
			version: '1',
			events: ['plug-in version rejected'],
		},
		{ name: 'is removed', next: null, version: null, events: ['plug-in removed'] },
	]
	for (const row of rows) {
		const results: { result: string | null }[] = []
		let slot: PluginSlot | null = null
		const loggedEvents: string[] = []
		await runScenario((scenario) => {
			slot = scenario.slot
			scenario.offer({ version: '1', behave: (call) => call.answer(release, 30) })
			for (let i = 0; i < 400; i++)
				scenario.clock.after(500 + i * 40, () => results.push(scenario.ask(`job-${i}`)))
			scenario.clock.after(3000, () => scenario.offer(row.next))
			scenario.clock.after(50_000, () => loggedEvents.push(...scenario.loggedEvents))
		}, 55_000)
		assert.equal(slot!.version, row.version, row.name)
		for (const event of row.events) assert.ok(loggedEvents.includes(event), `${row.name}: ${event}`)
		assert.ok(
			results.every((each) => each.result !== null),
			`${row.name}: every call has a result`,
		)
		if (row.next !== null)
			assert.ok(
				results.every((each) => each.result === 'release'),
				`${row.name}: no call is lost by the upgrade`,
			)
	}
})

test('a new version every few hundred milliseconds, some of them faulty: no call is lost', async () => {
	const results: { result: string | null }[] = []
	await runScenario((scenario) => {
		scenario.offer(working('0'))
		for (let i = 1; i < 100; i++)
			scenario.clock.after(200 + i * 350, () => {
				const faulty: FakeVersion['behave'][] = [null, (call) => call.fail('no'), (call) => call.crash('no')]
				scenario.offer(i % 4 === 3 ? { version: `${i}`, behave: faulty[(i >> 2) % 3] } : working(`${i}`))
			})
		for (let i = 0; i < 1000; i++)
			scenario.clock.after(500 + i * 35, () => results.push(scenario.ask(`job-${i}`)))
	})
	assert.equal(results.filter((each) => each.result === 'release').length, 1000)
})

test('calls beyond the bound of the queue are answered at once, and all pending ones when the plug-in is disabled', async () => {
	const results: PendingResult[] = []
	await runScenario((scenario) => {
		scenario.offer({ version: '1', behave: (call) => call.answer(release, 100) })
		scenario.clock.after(100, () => {
			for (let i = 0; i < 2005; i++) results.push(scenario.ask(`job-${i}`))
			assert.equal(results.filter((each) => /too many/.test(each.result ?? '')).length, 4)
		})
		scenario.clock.after(1000, () => {
			scenario.slot.setDisabled(true)
			assert.ok(results.every((each, i) => each.result !== null || i < 12))
		})
	}, 3000)
	assert.ok(results.every((each) => each.result !== null))
})

test('the first plug-in of the guide does what the guide says', async () => {
	const guide = await readFile('docs/plugins.md', 'utf8')
	const block = (language: string) => new RegExp(`\`\`\`${language}\n([^]*?)\`\`\``).exec(guide)![1]
	const [source, json] = [block('js'), block('json')]
	assert.ok(source.split('\n').length + json.split('\n').length <= 23, 'twenty lines')
	const dir = await mkdtemp(join(tmpdir(), 'guide-'))
	try {
		await writePlugin(dir, 'night-check', source, {
			...JSON.parse(json),
			digest: digestOf(Buffer.from(source)),
		})
		const read = await scanFolder(join(dir, 'night-check'), readManifest)
		assert.ok('manifest' in read, JSON.stringify(read))
		const module = await import(`data:text/javascript;base64,${Buffer.from(source).toString('base64')}`)
		const tried = tryPlugin(module)
		assert.deepEqual(await tried.admit({ tasks: 5000 }), { refuse: 'at most 1000 tasks a job' })
		assert.deepEqual(await tried.release({ tasks: 500 }, { waiting: 9 }), {
			hold: '9 bulky jobs wait already',
			againS: 20,
		})
		assert.deepEqual(await tried.release({ tasks: 500 }), { release: true })
	} finally {
		await rm(dir, { recursive: true })
	}
})

test('the examples under deploy/ are valid, and their settings name them', async () => {
	const { found, problems } = await scanDirectory('deploy/plugins', readManifest)
	assert.deepEqual(problems, [])
	const { plugins } = readOperatorSettings('deploy/plugins.ini')
	assert.deepEqual(Object.keys(plugins!.plugins).sort(), found.map((f) => f.manifest.name).sort())
	const load = (name: string) => {
		const { source } = found.find((f) => f.manifest.name === name)!
		return import(`data:text/javascript;base64,${Buffer.from(source).toString('base64')}`)
	}
	const payout = tryPlugin(await load('payout-check'))
	assert.ok('refuse' in (await payout.admit({ expectedS: 60, dueS: 30 })))
	assert.deepEqual(await payout.admit({ expectedS: 60, dueS: 300 }), { pass: true })
	const dispatch = tryPlugin(await load('dispatch-check'))
	assert.deepEqual(await dispatch.release({}, { waitedS: 6 }), { release: true })
	assert.ok('hold' in (await dispatch.release({}, { waitedS: 1 })))
})

/** Drains, settings and their reload, admin requests and the metrics page of a controller process. */

import assert from 'node:assert/strict'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { ConfigError, DEFAULT_OPERATOR_SETTINGS, readOperatorSettings } from '@heathroad/config'
import {
	type AdminTarget,
	type Drain,
	type DrainState,
	handleAdminRequest,
	nextPhase,
	sectionsNeedingRestart,
} from '@heathroad/daemon'
import { serveMetrics } from '@heathroad/metrics'
import type { PluginHost } from '@heathroad/plugins'
import { arrayJob, Simulation } from '@heathroad/testkit'
import type { HttpReply } from '@heathroad/wire'

test('the next phase of a drain', () => {
	const drainState = (overrides: Partial<DrainState>): DrainState => ({
		phase: 'leaving',
		sinceMs: 5000,
		shards: 1,
		submissions: 0,
		hasPeers: true,
		...overrides,
	})
	const rows: [name: string, overrides: Partial<DrainState>, expectedPhase: string][] = [
		['the drain starts', { phase: 'serving', sinceMs: 0 }, 'leaving'],
		['the load balancer may not have noticed yet', { sinceMs: 3900 }, 'leaving'],
		['the load balancer has noticed', {}, 'handing'],
		['a shard is still owned', { phase: 'handing' }, 'handing'],
		['a submission is unanswered', { phase: 'handing', shards: 0, submissions: 1 }, 'handing'],
		['no shard and no submission is left', { phase: 'handing', shards: 0 }, 'over'],
		['no other controller can take its shards', { hasPeers: false }, 'over'],
		['the drain timeout has passed', { phase: 'handing', sinceMs: 30_000, submissions: 3 }, 'over'],
	]
	for (const [name, overrides, expectedPhase] of rows)
		assert.equal(
			nextPhase(drainState(overrides), { drainTimeoutS: 30, balancerDelayS: 4 }),
			expectedPhase,
			name,
		)
})

const failedSubmissions = (simulation: Simulation) => ({
	refused: [...simulation.workload.submissions].reduce(
		(sum, [status, count]) => sum + (status >= 429 ? count : 0),
		0,
	),
	unanswered: simulation.workload.submissions.get(0) ?? 0,
})

test('draining all controllers one after the other refuses or loses no submission and expires no agent lease', async () => {
	const runWithFaults = async (kind: 'drain' | 'crash') => {
		const simulation = new Simulation({
			seed: 61,
			untilS: 260,
			balanced: true,
			capacity: 6,
			jobs: Array.from({ length: 220 }, (_, i) => ({
				atS: 4 + i * 0.7,
				spec: arrayJob(`job-006${String(i).padStart(3, '0')}`, { tasks: 3, expectedS: 10 }),
			})),
			faults: [0, 1, 2].map((i) => ({ atS: 30 + i * 40, kind, who: [i], forS: 4 })),
		})
		let expiredLeases = 0
		let drained = 0
		simulation.onLogLine = (line) => {
			if (/ agent lease expired /.test(line)) expiredLeases++
			if (/ drain phase changed .*"over"/.test(line)) drained++
		}
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [])
		return { ...failedSubmissions(simulation), expiredLeases, drained }
	}
	const drain = await runWithFaults('drain')
	assert.deepEqual(drain, { refused: 0, unanswered: 0, expiredLeases: 0, drained: 3 })
	const crash = await runWithFaults('crash')
	assert.ok(crash.unanswered > 0, 'crashes in place of the drains lose submissions')
})

const DRAINS_UNDER_FAULTS: { name: string; faults: ConstructorParameters<typeof Simulation>[0]['faults'] }[] =
	[
		{
			name: 'the state service goes down during the handoff',
			faults: [
				{ atS: 30, kind: 'drain', who: [1] },
				{ atS: 34, kind: 'stateDown', forS: 20 },
			],
		},
		{
			name: 'all other controllers have crashed',
			faults: [
				{ atS: 30, kind: 'drain', who: [1] },
				{ atS: 31, kind: 'crash', who: [0, 2], forS: 45 },
			],
		},
		{
			name: 'all controllers drain at the same time',
			faults: [{ atS: 30, kind: 'drain', who: [0, 1, 2] }],
		},
		{
			name: 'the controller crashes during the drain',
			faults: [
				{ atS: 30, kind: 'drain', who: [1] },
				{ atS: 35, kind: 'crash', who: [1] },
			],
		},
	]

test('a drain while the state service or other controllers are down ends in time and loses nothing', async () => {
	for (const { name, faults } of DRAINS_UNDER_FAULTS) {
		const jobs = Array.from({ length: 30 }, (_, i) => ({
			atS: 2 + i * 2,
			spec: arrayJob(`job-0070${String(i).padStart(2, '0')}`, { tasks: 6, expectedS: 8 }),
		}))
		const simulation = new Simulation({
			seed: 62,
			untilS: 300,
			jobs,
			faults,
			loss: 0.01,
			lossUntilS: 200,
		})
		const drainedAtMs: number[] = []
		simulation.onLogLine = (line) => {
			const match = /^(\d+) \S+ drain phase changed .*"phase":"over"/.exec(line)
			if (match !== null) drainedAtMs.push(Number(match[1]))
		}
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [], name)
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], name)
		assert.ok(
			drainedAtMs.every((ms) => ms <= 30_000 + 30_500),
			`${name}: ${drainedAtMs}`,
		)
		assert.ok(drainedAtMs.length > 0 || name === 'the controller crashes during the drain', name)
	}
})

const withIni = async <A>(text: string, work: (path: string) => A): Promise<A> => {
	const directory = await mkdtemp(join(tmpdir(), 'ini-'))
	try {
		const path = join(directory, 'a.ini')
		await writeFile(path, text)
		return work(path)
	} finally {
		await rm(directory, { recursive: true })
	}
}

test('plug-in sections of the INI file are read, and errors in them are reported', async () => {
	const full = `[plugins]
dir = /etc/plugins
[plugin.payout-check]
hold_at_most_s = 60
when_unsure = hold-until-limit
classes = merchant-payout, payout-2
grant = team-jobs`
	const settings = await withIni(full, readOperatorSettings)
	assert.deepEqual(settings.plugins, {
		directory: '/etc/plugins',
		scanIntervalS: 5,
		plugins: {
			'payout-check': {
				maxHoldS: 60,
				admissionTimeoutMs: 500,
				callTimeoutMs: 200,
				memoryMb: 16,
				whenUnsure: 'hold',
				classes: ['merchant-payout', 'payout-2'],
				teams: null,
				permissions: ['team-jobs'],
			},
		},
	})
	const rows: [name: string, text: string, message: RegExp][] = [
		['a plug-in without the section [plugins]', '[plugin.a]\n', /\[plugin\.a\]: needs a section \[plugins\]/],
		['no directory of plug-ins', '[plugins]\n', /plugins\.dir: must be a directory/],
		['an unknown key', '[plugins]\ndir = x\n[plugin.a]\nhold = 3', /plugin\.a\.hold: no such key/],
		['out of range', '[plugins]\ndir = x\n[plugin.a]\ncall_ms = 1', /plugin\.a\.call_ms: must be a number/],
		['an unknown value', '[plugins]\ndir = x\n[plugin.a]\nwhen_unsure = maybe', /when_unsure: must be/],
		['an unknown permission', '[plugins]\ndir = x\n[plugin.a]\ngrant = root', /grant: root is none of/],
		['an invalid name', '[plugins]\ndir = x\n[plugin.A B]\n', /the name is small letters/],
		['metrics without an address', '[metrics]\n', /metrics\.listen: must be an IPv4 address/],
		['a drain timeout of zero', '[daemon]\ndrain_s = 0', /daemon\.drain_s: must be a number from 1/],
	]
	for (const [name, text, message] of rows)
		await withIni(text, (path) =>
			assert.throws(
				() => readOperatorSettings(path),
				(error) => error instanceof ConfigError && message.test(error.message),
				name,
			),
		)
})

test('a reload reports the sections that need a restart', () => {
	const before = { ...DEFAULT_OPERATOR_SETTINGS } as Parameters<typeof sectionsNeedingRestart>[0]
	assert.deepEqual(sectionsNeedingRestart(before, DEFAULT_OPERATOR_SETTINGS), [])
	const after = {
		...DEFAULT_OPERATOR_SETTINGS,
		tuning: { ...DEFAULT_OPERATOR_SETTINGS.tuning, idleReports: 9 },
		metrics: { listen: '127.0.0.1:1' },
	}
	assert.deepEqual(sectionsNeedingRestart(before, after), ['metrics'])
})

test('admin requests are answered with the right status', async () => {
	const calls: string[] = []
	const host = {
		list: () => [{ name: 'one' }],
		disable: (name: string, disabled: boolean) => calls.push(`${name} ${disabled}`) > 0 && name === 'one',
	} as unknown as PluginHost
	const makeDaemon = (plugins: PluginHost | null): AdminTarget => ({
		plugins,
		drain: { phase: 'leaving' } as Drain,
		reload: () => (plugins === null ? Promise.reject(new Error('a.ini: no')) : Promise.resolve(['a line'])),
		beginDrain: () => calls.push('end'),
	})
	const call = (daemon: AdminTarget, path: string, body: unknown = {}) =>
		new Promise<HttpReply>((done) => handleAdminRequest(daemon, path, body, done))
	const rows: [path: string, body: unknown, plugins: PluginHost | null, status: number][] = [
		['/admin/plugins', {}, host, 200],
		['/admin/plugins', {}, null, 200],
		['/admin/disable', { name: 'one' }, host, 200],
		['/admin/enable', { name: 'one' }, host, 200],
		['/admin/disable', { name: 'two' }, host, 404],
		['/admin/disable', {}, host, 400],
		['/admin/disable', { name: 'one' }, null, 409],
		['/admin/reload', {}, host, 200],
		['/admin/reload', {}, null, 409],
		['/admin/drain', {}, host, 202],
		['/admin/else', {}, host, 404],
	]
	for (const [path, body, plugins, status] of rows)
		assert.equal(
			(await call(makeDaemon(plugins), path, body)).status,
			status,
			`${path} ${JSON.stringify(body)}`,
		)
	assert.deepEqual(calls, ['one true', 'one false', 'two true', 'end'])
})

test('the metrics server serves the current values on one path and nothing else', async () => {
	let openJobs = 3
	const { port, close } = await serveMetrics('127.0.0.1:0', {
		stats: () => ({ openJobs, right: 'grant', healthy: true }),
		plugins: () => [
			{
				name: 'one',
				version: null,
				condition: 'ready',
				queued: 2,
				asked: 9,
				answered: 7,
				unsure: 0,
				upgrades: 0,
				rollbacks: 0,
			},
		],
	})
	const getPage = async (path: string) => {
		const response = await fetch(`http://127.0.0.1:${port}${path}`)
		return { status: response.status, text: await response.text() }
	}
	assert.match((await getPage('/metrics')).text, /^heathroad_open_jobs 3$/m)
	openJobs = 4
	const { text } = await getPage('/metrics')
	for (const line of ['heathroad_open_jobs 4', 'heathroad_healthy 1', 'heathroad_right{right="grant"} 1'])
		assert.ok(text.includes(`\n${line}\n`), line)
	assert.ok(text.includes('heathroad_plugin_queued{plugin="one"} 2'))
	assert.equal((await getPage('/else')).status, 404)
	close()
})

import assert from 'node:assert/strict'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { loadConfig } from '@heathroad/config'

const good = () => ({
	host_name: 'c-1',
	site: 'a',
	bind: '127.0.0.1:8080',
	internal_addr: '127.0.0.1:8081',
	members: [{ host_name: 'c-0', site: 'b', peer_addr: '127.0.0.2:8081' }],
	services: { cloud: '127.0.0.3:1', state: '127.0.0.3:2' },
	deployment: {
		zones: ['a', 'b'],
		teams: [{ name: 'core', cpus: 0, gpus: 0, cpus_max: 0, gpus_max: 0 }],
		workers: { report_s: 1, lease_s: 10, cancel_s: 30 },
		state: { rps: 200, write_rps: 15, value_kb: 8, txn_ops: 12 },
		cloud: { rps: 2, list_lag_s: 3 },
		resources: { cpu: 0.34, memory_mb: 146, fd_limit: 900 },
		surprise: 1,
	},
})

const dir = mkdtempSync(join(tmpdir(), 'heathroad-'))
const file = (name: string, text: string): string => {
	writeFileSync(join(dir, name), text)
	return join(dir, name)
}

test('settings: good ones, and what is said of bad ones', () => {
	const { limits: derived } = loadConfig(file('good.json', JSON.stringify(good())))
	assert.deepEqual(derived.controllerNames, ['c-0', 'c-1'], 'parts are numbered by the sorted names')
	assert.ok(
		derived.controllerLeaseMs + derived.takeoverPromiseMs + derived.agentLeaseMs < derived.cancelMs,
		'the safety sum',
	)
	const cases: { name: string; change: (s: ReturnType<typeof good>) => void; says: RegExp }[] = [
		{
			name: 'a missing field',
			change: (s) => Reflect.deleteProperty(s, 'bind'),
			says: /bind.*Missing/i,
		},
		{ name: 'a wrong type', change: (s) => Object.assign(s, { site: 3 }), says: /site/ },
		{
			name: 'a host name for an address',
			change: (s) => Object.assign(s, { bind: 'localhost:1' }),
			says: /bind: Expected an IPv4 address and a port, such as/,
		},
		{
			name: 'out of range, deep down',
			change: (s) => Object.assign(s.deployment.state, { write_rps: 0 }),
			says: /deployment\.state\.write_rps/,
		},
		{
			name: 'a cancellation shorter than a lease',
			change: (s) => Object.assign(s.deployment.workers, { cancel_s: 9 }),
			says: /cancel_s: must be longer than lease_s/,
		},
		{
			name: 'a name used twice',
			change: (s) => Object.assign(s, { host_name: 'c-0' }),
			says: /share a host_name/,
		},
	]
	for (const c of cases) {
		const s = good()
		c.change(s)
		const path = file('bad.json', JSON.stringify(s))
		assert.throws(
			() => loadConfig(path),
			(e: Error) => c.says.test(e.message) && !e.message.includes('\n'),
			c.name,
		)
	}
	assert.throws(() => loadConfig(join(dir, 'none.json')), /cannot be read \(ENOENT\)/)
	assert.throws(() => loadConfig(file('text.json', '{')), /is not JSON/)
})

test('INI: known keys in range, everything else is a typing error', () => {
	const path = file('settings.json', JSON.stringify(good()))
	const { tuning } = loadConfig(path, file('good.ini', '[machines]\nidle_reports = 9\n[budget]\nmix=0.25\n'))
	assert.deepEqual([tuning.idleHeartbeats, tuning.progressHeartbeats, tuning.budgetMix], [9, 3, 0.25])
	assert.equal(
		loadConfig(path, file('plain.ini', '[budget]\nmix=0.25\n')).grpc,
		null,
		'off without its section',
	)
	const on = loadConfig(path, file('grpc.ini', '[grpc]\nlisten = 127.0.0.1:9090\nstreams = 7\n'))
	assert.deepEqual([on.grpc?.listen, on.grpc?.streams, on.grpc?.uids], ['127.0.0.1:9090', 7, 1000])
	// Hardly longer than a lease, cancellations are confirmed late, which streams cannot do.
	const tight = good()
	tight.deployment.workers.cancel_s = tight.deployment.workers.lease_s + 1
	const tightPath = file('tight.json', JSON.stringify(tight))
	assert.ok(loadConfig(tightPath).limits.cancellationConfirmDelayMs > 0)
	assert.throws(
		() => loadConfig(tightPath, join(dir, 'grpc.ini')),
		/\[grpc\]: needs a cancel_s of [0-9.]+ at least/,
	)
	const cases: { text: string; says: RegExp }[] = [
		{ text: '[machines]\nidle_report = 9', says: /machines\.idle_report: no such key/ },
		{ text: '[machine]\nidle_reports = 9', says: /machine: no such section/ },
		{ text: 'idle_reports = 9', says: /outside a section/ },
		{ text: '[budget]\nmix = 2', says: /budget\.mix: must be a number from 0 to 1/ },
		{ text: '[budget]\nmix = much', says: /budget\.mix: must be a number/ },
		{ text: '[grpc]\nstreams = 5', says: /grpc\.listen: must be an IPv4 address and a port/ },
		{ text: '[grpc]\nlisten = localhost:9090', says: /grpc\.listen: must be an IPv4 address and a port/ },
		{ text: '[grpc]\nlisten = 127.0.0.1:9090\nstream = 5', says: /grpc\.stream: no such key/ },
		{ text: '[grpc]\nlisten = 127.0.0.1:9090\nstreams = 0', says: /grpc\.streams: must be a number from 1/ },
	]
	for (const c of cases) assert.throws(() => loadConfig(path, file('bad.ini', c.text)), c.says, c.text)
})

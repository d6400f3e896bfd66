import assert from 'node:assert/strict'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { loadConfig } from '@heathroad/config'

const validSettings = () => ({
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

const directory = mkdtempSync(join(tmpdir(), 'heathroad-'))
const writeFile = (name: string, text: string): string => {
	const path = join(directory, name)
	writeFileSync(path, text)
	return path
}

test('settings: valid settings are accepted, and errors name the field and the problem', () => {
	const { limits } = loadConfig(writeFile('good.json', JSON.stringify(validSettings())))
	assert.deepEqual(limits.controllerNames, ['c-0', 'c-1'], 'shards are numbered by the sorted names')
	assert.ok(
		limits.controllerLeaseMs + limits.takeoverPromiseMs + limits.agentLeaseMs < limits.cancelMs,
		'a controller lease, a takeover promise and an agent lease fit into the cancellation time',
	)
	const cases: {
		name: string
		change: (settings: ReturnType<typeof validSettings>) => void
		message: RegExp
	}[] = [
		{
			name: 'a missing field',
			change: (settings) => Reflect.deleteProperty(settings, 'bind'),
			message: /bind.*Missing/i,
		},
		{
			name: 'a field of the wrong type',
			change: (settings) => Object.assign(settings, { site: 3 }),
			message: /site/,
		},
		{
			name: 'a host name instead of an address',
			change: (settings) => Object.assign(settings, { bind: 'localhost:1' }),
			message: /bind: Expected an IPv4 address and a port, such as/,
		},
		{
			name: 'a nested number out of range',
			change: (settings) => Object.assign(settings.deployment.state, { write_rps: 0 }),
			message: /deployment\.state\.write_rps/,
		},
		{
			name: 'a cancellation shorter than a lease',
			change: (settings) => Object.assign(settings.deployment.workers, { cancel_s: 9 }),
			message: /cancel_s: must be longer than lease_s/,
		},
		{
			name: 'a host name used twice',
			change: (settings) => Object.assign(settings, { host_name: 'c-0' }),
			message: /share a host_name/,
		},
	]
	for (const { name, change, message } of cases) {
		const settings = validSettings()
		change(settings)
		const path = writeFile('invalid.json', JSON.stringify(settings))
		assert.throws(
			() => loadConfig(path),
			(error: Error) => message.test(error.message) && !error.message.includes('\n'),
			name,
		)
	}
	assert.throws(() => loadConfig(join(directory, 'none.json')), /cannot be read \(ENOENT\)/)
	assert.throws(() => loadConfig(writeFile('text.json', '{')), /is not JSON/)
})

test('INI: known keys within their bounds are accepted, anything else is an error', () => {
	const path = writeFile('settings.json', JSON.stringify(validSettings()))
	const { tuning } = loadConfig(
		path,
		writeFile('good.ini', '[machines]\nidle_reports = 9\n[budget]\nmix=0.25\n'),
	)
	assert.deepEqual([tuning.idleHeartbeats, tuning.progressHeartbeats, tuning.budgetMix], [9, 3, 0.25])
	assert.equal(
		loadConfig(path, writeFile('plain.ini', '[budget]\nmix=0.25\n')).grpc,
		null,
		'the gRPC server is disabled without its section',
	)
	const withGrpc = loadConfig(path, writeFile('grpc.ini', '[grpc]\nlisten = 127.0.0.1:9090\nstreams = 7\n'))
	assert.deepEqual(
		[withGrpc.grpc?.listen, withGrpc.grpc?.maxStreams, withGrpc.grpc?.maxIdsPerStream],
		['127.0.0.1:9090', 7, 1000],
	)
	// If cancel_s is barely longer than lease_s, cancellations are confirmed late, which streams do not support.
	const shortCancel = validSettings()
	shortCancel.deployment.workers.cancel_s = shortCancel.deployment.workers.lease_s + 1
	const shortCancelPath = writeFile('short-cancel.json', JSON.stringify(shortCancel))
	assert.ok(loadConfig(shortCancelPath).limits.cancellationConfirmDelayMs > 0)
	assert.throws(
		() => loadConfig(shortCancelPath, join(directory, 'grpc.ini')),
		/\[grpc\]: needs a cancel_s of [0-9.]+ at least/,
	)
	const cases: { text: string; message: RegExp }[] = [
		{ text: '[machines]\nidle_report = 9', message: /machines\.idle_report: no such key/ },
		{ text: '[machine]\nidle_reports = 9', message: /machine: no such section/ },
		{ text: 'idle_reports = 9', message: /outside a section/ },
		{ text: '[budget]\nmix = 2', message: /budget\.mix: must be a number from 0 to 1/ },
		{ text: '[budget]\nmix = much', message: /budget\.mix: must be a number/ },
		{ text: '[grpc]\nstreams = 5', message: /grpc\.listen: must be an IPv4 address and a port/ },
		{ text: '[grpc]\nlisten = localhost:9090', message: /grpc\.listen: must be an IPv4 address and a port/ },
		{ text: '[grpc]\nlisten = 127.0.0.1:9090\nstream = 5', message: /grpc\.stream: no such key/ },
		{
			text: '[grpc]\nlisten = 127.0.0.1:9090\nstreams = 0',
			message: /grpc\.streams: must be a number from 1/,
		},
	]
	for (const { text, message } of cases)
		assert.throws(() => loadConfig(path, writeFile('invalid.ini', text)), message, text)
})

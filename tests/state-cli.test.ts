/** The subcommands of `heathroad state`, run as processes against fake services over sockets. */

import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import { putArchive, serveState, startFakeServer } from '@heathroad/lab'
import { KEY_PREFIX } from '@heathroad/store'
import { FakeStateStore, plainSettings, RealClock } from '@heathroad/testkit'

const MAIN = 'target/main.cjs'
const directory = mkdtempSync(join(tmpdir(), 'heathroad-state-'))
const clock = new RealClock(1)
after(() => {
	clock.stop()
	rmSync(directory, { recursive: true })
})

/** Runs a subcommand of `heathroad state`; returns its output and its exit code. */
const runState = (...args: string[]): Promise<{ code: number | null; out: string; err: string }> =>
	new Promise((done) => {
		const child = spawn(process.execPath, [MAIN, 'state', ...args])
		let [out, err] = ['', '']
		child.stdout.on('data', (chunk) => {
			out += chunk
		})
		child.stderr.on('data', (chunk) => {
			err += chunk
		})
		child.on('exit', (code) => done({ code, out, err }))
	})

const settingsFor = (name: string, statePort: number, cloudPort: number): string => {
	const path = join(directory, `${name}.json`)
	const plain = plainSettings('ctl-0', ['ctl-1', 'ctl-2'])
	const { deployment } = plain
	const settings = {
		...plain,
		services: { state: `127.0.0.1:${statePort}`, cloud: `127.0.0.1:${cloudPort}` },
		deployment: {
			...deployment,
			cloud: { rps: 300, list_lag_s: 0.1 },
			state: { ...deployment.state, rps: 3000, write_rps: 2000 },
		},
	}
	writeFileSync(path, JSON.stringify(settings))
	return path
}

test('check, export, import and diff on the command line, over sockets', async (t) => {
	if (!existsSync(MAIN)) return t.skip('main.cjs is not built')
	const [full, empty] = [new FakeStateStore(clock), new FakeStateStore(clock)]
	putArchive(full, 20_000, 8192, 3, 1000)
	full.put(`${KEY_PREFIX}fleet/r0`, {
		part: 0,
		type: 'box',
		zone: 'a',
		spot: false,
		asked: 0,
		hosts: { 'i-1': null, 'i-2': null },
	})
	const stateServers = [await serveState(full, null), await serveState(empty, null)]
	const listed = ['i-1', 'i-7'].map((uid) => ({ uid, status: 'running', heldS: 900 }))
	const cloud = await startFakeServer((_, reply) =>
		reply({ status: 200, body: { hosts: listed, truncated: false } }),
	)
	t.after(() => {
		for (const server of [...stateServers, cloud]) server.close()
	})
	const [fullConfig, emptyConfig] = stateServers.map((server, i) =>
		settingsFor(`s${i}`, server.port, cloud.port),
	)
	const snapshot = join(directory, 'saved')

	const consistent = await runState('check', '--config', fullConfig)
	assert.equal(consistent.code, 0, consistent.out + consistent.err)
	const withCloud = await runState('check', '--cloud', '--config', fullConfig)
	assert.equal(withCloud.code, 1)
	assert.deepEqual(withCloud.out.trim().split('\n'), [
		'i-7: is charged since 900 s, and no record knows it',
		`${KEY_PREFIX}fleet/r0: holds machine i-2, which the cloud does not list`,
	])

	const saved = await runState('export', snapshot, '--config', fullConfig)
	assert.equal(saved.code, 0, saved.err)
	assert.match(saved.out, /keys as of epoch \d+/)
	assert.ok(!existsSync(`${snapshot}.partial`))
	const restored = await runState('import', snapshot, '--config', emptyConfig)
	assert.equal(restored.code, 0, restored.err)
	const importedTwice = await runState('import', snapshot, '--config', emptyConfig)
	assert.equal(importedTwice.code, 2)
	assert.match(importedTwice.err, /is not empty \(.*\): nothing was written/)
	const checkedImport = await runState('check', '--config', emptyConfig)
	assert.equal(checkedImport.code, 0, checkedImport.out)
	const exportedAgain = join(directory, 'back')
	await runState('export', exportedAgain, '--config', emptyConfig)
	const unchanged = await runState('diff', exportedAgain, exportedAgain)
	assert.deepEqual([unchanged.code, unchanged.out], [0, ''])
	// Only the revisions in the archive's records differ.
	const differs = await runState('diff', snapshot, exportedAgain)
	assert.equal(differs.code, 1)
	assert.ok(
		differs.out
			.trim()
			.split('\n')
			.every((line) => /^~ heathroad-past\//.test(line)),
		differs.out,
	)

	const bytes = readFileSync(snapshot)
	bytes[Math.floor(bytes.length / 2)] ^= 1
	writeFileSync(snapshot, bytes)
	const damaged = await runState('diff', snapshot, exportedAgain)
	assert.equal(damaged.code, 2)
	assert.match(damaged.err, /checksum does not fit|cannot be read/)

	full.put(`${KEY_PREFIX}over/0`, 7)
	const found = await runState('check', '--config', fullConfig)
	assert.equal(found.code, 1)
	assert.equal(found.out, `${KEY_PREFIX}over/0: does not parse\n`)
	full.down = true
	const delayed = runState('export', join(directory, 'never'), '--config', fullConfig)
	// It retries its request for a while, and does not create the file meanwhile.
	const earlyResult = await Promise.race([delayed, new Promise((done) => setTimeout(done, 1500))])
	assert.equal(earlyResult, undefined)
	full.recover()
	assert.equal((await delayed).code, 0)
})

import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import { listenHere, putArchive, serveState } from '@heathroad/lab'
import { KEY_PREFIX } from '@heathroad/store'
import { FakeStateStore, plainSettings, RealClock } from '@heathroad/testkit'

const MAIN = 'target/main.cjs'
const dir = mkdtempSync(join(tmpdir(), 'heathroad-state-'))
const clock = new RealClock(1)
after(() => {
	clock.stop()
	rmSync(dir, { recursive: true })
})

/** The verbs as operators call them; what they printed, and how they ended. */
const verb = (...args: string[]): Promise<{ code: number | null; out: string; err: string }> =>
	new Promise((done) => {
		const child = spawn(process.execPath, [MAIN, 'state', ...args])
		let [out, err] = ['', '']
		child.stdout.on('data', (c) => {
			out += c
		})
		child.stderr.on('data', (c) => {
			err += c
		})
		child.on('exit', (code) => done({ code, out, err }))
	})

const settingsFor = (name: string, state: number, cloud: number): string => {
	const path = join(dir, `${name}.json`)
	const plain = plainSettings('ctl-0', ['ctl-1', 'ctl-2'])
	const { deployment } = plain
	const settings = {
		...plain,
		services: { state: `127.0.0.1:${state}`, cloud: `127.0.0.1:${cloud}` },
		deployment: {
			...deployment,
			cloud: { rps: 300, list_lag_s: 0.1 },
			state: { ...deployment.state, rps: 3000, write_rps: 2000 },
		},
	}
	writeFileSync(path, JSON.stringify(settings))
	return path
}

test('check, export, import and diff from the command line, over sockets', async (t) => {
	if (!existsSync(MAIN)) return t.skip('there is no build')
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
	const faces = [await serveState(full, null), await serveState(empty, null)]
	const listed = ['i-1', 'i-7'].map((uid) => ({ uid, status: 'running', heldS: 900 }))
	const cloud = await listenHere((_, reply) =>
		reply({ status: 200, body: { hosts: listed, truncated: false } }),
	)
	t.after(() => {
		for (const f of [...faces, cloud]) f.close()
	})
	const [a, b] = faces.map((f, i) => settingsFor(`s${i}`, f.port, cloud.port))
	const file = join(dir, 'saved')

	const fits = await verb('check', '--config', a)
	assert.equal(fits.code, 0, fits.out + fits.err)
	const withCloud = await verb('check', '--cloud', '--config', a)
	assert.equal(withCloud.code, 1)
	assert.deepEqual(withCloud.out.trim().split('\n'), [
		'i-7: is charged since 900 s, and no record knows it',
		`${KEY_PREFIX}fleet/r0: holds machine i-2, which the cloud does not list`,
	])

	const saved = await verb('export', file, '--config', a)
	assert.equal(saved.code, 0, saved.err)
	assert.match(saved.out, /keys as of epoch \d+/)
	assert.ok(!existsSync(`${file}.partial`))
	const restored = await verb('import', file, '--config', b)
	assert.equal(restored.code, 0, restored.err)
	const again = await verb('import', file, '--config', b)
	assert.equal(again.code, 2)
	assert.match(again.err, /is not empty \(.*\): nothing was written/)
	const fitsToo = await verb('check', '--config', b)
	assert.equal(fitsToo.code, 0, fitsToo.out)
	const back = join(dir, 'back')
	await verb('export', back, '--config', b)
	const same = await verb('diff', back, back)
	assert.deepEqual([same.code, same.out], [0, ''])
	// Only the revisions in the archive's records differ.
	const differs = await verb('diff', file, back)
	assert.equal(differs.code, 1)
	assert.ok(
		differs.out
			.trim()
			.split('\n')
			.every((l) => /^~ heathroad-past\//.test(l)),
		differs.out,
	)

	const text = readFileSync(file)
	text[Math.floor(text.length / 2)] ^= 1
	writeFileSync(file, text)
	const damaged = await verb('diff', file, back)
	assert.equal(damaged.code, 2)
	assert.match(damaged.err, /checksum does not fit|cannot be read/)

	full.put(`${KEY_PREFIX}over/0`, 7)
	const found = await verb('check', '--config', a)
	assert.equal(found.code, 1)
	assert.equal(found.out, `${KEY_PREFIX}over/0: does not parse\n`)
	full.down = true
	const deaf = verb('export', join(dir, 'never'), '--config', a)
	// It asks again for a while; the file never appears under its name.
	const first = await Promise.race([deaf, new Promise((done) => setTimeout(done, 1500))])
	assert.equal(first, undefined)
	full.recover()
	assert.equal((await deaf).code, 0)
})

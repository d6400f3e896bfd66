import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob } from '@heathroad/testkit'
import {
	decode,
	encode,
	encodeCommands,
	encodeSubmission,
	InvalidSubmission,
	parseHeartbeat,
	parseSubmission,
	toWireInteger,
} from '@heathroad/wire'

const body = (more: Record<string, unknown> = {}) => ({
	...encodeSubmission(arrayJob('job-000412')),
	...more,
})

test('submissions', () => {
	const read = parseSubmission(decode(encode(body({ future: 1 }))))
	assert.deepEqual(read, arrayJob('job-000412'), 'unknown fields are ignored')
	// What may be null may be left out; every other field has to be there.
	const nullable = ['flavours', 'site', 'dueS']
	for (const field of Object.keys(body()))
		for (const [how, b] of [
			['left out', Object.fromEntries(Object.entries(body()).filter(([k]) => k !== field))],
			['null', body({ [field]: null })],
		] as const) {
			const read = parseSubmission(b)
			if (nullable.includes(field)) assert.deepEqual(read, arrayJob('job-000412'), `${field} ${how}`)
			else assert.equal(read instanceof InvalidSubmission && read.field, field, `${field} ${how}`)
		}
	// What a user reads: the field as the protocol names it, and what it must be, in words.
	const bad: [name: string, body: unknown, says: string][] = [
		['not a map', [1], 'the body is not a map'],
		['no uid', body({ uid: undefined }), 'uid: Expected string'],
		['a uid of another form', body({ uid: 'job-x' }), 'uid: Expected "job-" followed by 6 to 20 digits'],
		['no tasks', body({ pieces: 0 }), 'pieces: Expected a whole number from 1 to 100000'],
		['too many tasks', body({ pieces: 100_001 }), 'pieces: Expected a whole number from 1 to 100000'],
		['half a task', body({ pieces: 1.5 }), 'pieces: Expected an integer'],
		['a negative amount', body({ cpus: -1 }), 'cpus: Expected a number of 0 or more'],
		['an infinite amount', body({ ramGb: Number.POSITIVE_INFINITY }), 'ramGb: Expected a finite number'],
		['an unknown shape', body({ shape: 'heap' }), 'shape: Expected "sweep" | "daemon" | "gang"'],
		['an unknown urgency', body({ urgency: 'very' }), 'urgency: Expected'],
		['types that are no list', body({ flavours: 'g8' }), 'flavours: Expected array'],
		['a flag that is none', body({ reclaimable: 'yes' }), 'reclaimable: Expected boolean'],
		[
			'a name with a space',
			body({ owner: 'a b' }),
			'owner: Expected a name of 1 to 120 characters without spaces',
		],
	]
	for (const [name, b, says] of bad) {
		const read = parseSubmission(b)
		assert.ok(read instanceof InvalidSubmission, name)
		assert.ok(String(read).startsWith(says), `${name}: ${read}`)
	}
})

test('integers up to 2^64 survive, and nothing but plain MessagePack goes out', () => {
	const large = 2n ** 64n - 1n
	const report = parseHeartbeat(
		decode(
			encode({
				host: 'i-000001',
				addr: '10.1.0.1:9000',
				flavour: 'g8',
				site: 'a',
				reclaimable: true,
				tenure: 1,
				counter: large,
				fence: 2n ** 53n + 1n,
				warningS: null,
				pieces: [{ piece: 'job-000412/3', try: large, status: 'ended', cause: 'done' }],
			}),
		),
	)
	assert.equal(report?.sequence, large)
	assert.equal(report?.tasks[0].attempt, large)
	const out = encode(encodeCommands(7, [{ verb: 'start', taskName: 'job-000412/3', attempt: 5 * 2 ** 40 }]))
	assert.equal(out.includes(0xcb), false, 'a large integer is not written as a float')
	for (const ext of [0xc7, 0xc8, 0xc9, 0xd4, 0xd5, 0xd6, 0xd7, 0xd8])
		assert.equal(encode({ a: undefined, b: [1, null] }).includes(ext), false, 'no extension types')
	assert.equal(toWireInteger(5), 5)
})

test('reports that are none', () => {
	const good = { host: 'i-1', addr: 'x:1', flavour: 'g', site: 'a', tenure: 1, counter: 1, fence: 0 }
	assert.ok(parseHeartbeat(good))
	const bad: [string, unknown][] = [
		['no machine', { ...good, host: undefined }],
		['a negative counter', { ...good, counter: -1 }],
		['tasks that are no list', { ...good, pieces: {} }],
		['a task without an attempt', { ...good, pieces: [{ piece: 'job-000001/1', status: 'running' }] }],
		['a task without a number', { ...good, pieces: [{ piece: 'job-000001', try: 1, status: 'running' }] }],
	]
	for (const [name, b] of bad) assert.equal(parseHeartbeat(b), null, name)
})

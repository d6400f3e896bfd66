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

const submissionBody = (fields: Record<string, unknown> = {}) => ({
	...encodeSubmission(arrayJob('job-000412')),
	...fields,
})

test('submissions are parsed, or rejected with the field and the problem', () => {
	const parsed = parseSubmission(decode(encode(submissionBody({ future: 1 }))))
	assert.deepEqual(parsed, arrayJob('job-000412'), 'unknown fields are ignored')
	// Nullable fields may be absent; every other field is required.
	const nullable = ['flavours', 'site', 'dueS']
	for (const field of Object.keys(submissionBody()))
		for (const [variant, message] of [
			['absent', Object.fromEntries(Object.entries(submissionBody()).filter(([name]) => name !== field))],
			['null', submissionBody({ [field]: null })],
		] as const) {
			const parsed = parseSubmission(message)
			if (nullable.includes(field)) assert.deepEqual(parsed, arrayJob('job-000412'), `${field} ${variant}`)
			else assert.equal(parsed instanceof InvalidSubmission && parsed.field, field, `${field} ${variant}`)
		}
	// The message for the user: the name of the field in the protocol, and what is expected.
	const invalid: [name: string, body: unknown, message: string][] = [
		['not a map', [1], 'the body is not a map'],
		['no uid', submissionBody({ uid: undefined }), 'uid: Expected string'],
		['a malformed uid', submissionBody({ uid: 'job-x' }), 'uid: Expected "job-" followed by 6 to 20 digits'],
		['no tasks', submissionBody({ pieces: 0 }), 'pieces: Expected a whole number from 1 to 100000'],
		[
			'too many tasks',
			submissionBody({ pieces: 100_001 }),
			'pieces: Expected a whole number from 1 to 100000',
		],
		['half a task', submissionBody({ pieces: 1.5 }), 'pieces: Expected an integer'],
		['a negative amount', submissionBody({ cpus: -1 }), 'cpus: Expected a number of 0 or more'],
		[
			'an infinite amount',
			submissionBody({ ramGb: Number.POSITIVE_INFINITY }),
			'ramGb: Expected a finite number',
		],
		['an unknown shape', submissionBody({ shape: 'heap' }), 'shape: Expected "sweep" | "daemon" | "gang"'],
		['an unknown urgency', submissionBody({ urgency: 'very' }), 'urgency: Expected'],
		['types that are not a list', submissionBody({ flavours: 'g8' }), 'flavours: Expected array'],
		['a flag that is not a boolean', submissionBody({ reclaimable: 'yes' }), 'reclaimable: Expected boolean'],
		[
			'a name with a space',
			submissionBody({ owner: 'a b' }),
			'owner: Expected a name of 1 to 120 characters without spaces',
		],
	]
	for (const [name, body, message] of invalid) {
		const parsed = parseSubmission(body)
		assert.ok(parsed instanceof InvalidSubmission, name)
		assert.ok(String(parsed).startsWith(message), `${name}: ${parsed}`)
	}
})

test('integers below 2^64 are exact, and only standard MessagePack types are sent', () => {
	const large = 2n ** 64n - 1n
	const heartbeat = parseHeartbeat(
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
	assert.equal(heartbeat?.sequence, large)
	assert.equal(heartbeat?.tasks[0].attempt, large)
	const encoded = encode(
		encodeCommands(7, [{ verb: 'start', taskName: 'job-000412/3', attempt: 5 * 2 ** 40 }]),
	)
	assert.equal(encoded.includes(0xcb), false, 'a large integer is not written as a float')
	for (const extensionType of [0xc7, 0xc8, 0xc9, 0xd4, 0xd5, 0xd6, 0xd7, 0xd8])
		assert.equal(encode({ a: undefined, b: [1, null] }).includes(extensionType), false, 'no extension types')
	assert.equal(toWireInteger(5), 5)
})

test('malformed heartbeats are rejected', () => {
	const valid = { host: 'i-1', addr: 'x:1', flavour: 'g', site: 'a', tenure: 1, counter: 1, fence: 0 }
	assert.ok(parseHeartbeat(valid))
	const invalid: [name: string, body: unknown][] = [
		['no machine id', { ...valid, host: undefined }],
		['a negative counter', { ...valid, counter: -1 }],
		['tasks that are not a list', { ...valid, pieces: {} }],
		['a task without an attempt', { ...valid, pieces: [{ piece: 'job-000001/1', status: 'running' }] }],
		['a task without a number', { ...valid, pieces: [{ piece: 'job-000001', try: 1, status: 'running' }] }],
	]
	for (const [name, body] of invalid) assert.equal(parseHeartbeat(body), null, name)
})

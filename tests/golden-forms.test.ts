/**
 * Golden forms: each value of `tests/golden/values.ts` is written as it is stored or sent, compared with the bytes in
 * `tests/fixtures/golden/forms.json`, and read back from those bytes by the code's reader. Renaming must change neither.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CloudClient, type RentalRequest } from '@heathroad/cloud'
import {
	acceptJobs,
	advanceArchivalEpoch,
	decodeAcceptedBatch,
	decodeCancellations,
	decodeHistoryRecord,
	decodeJobRecord,
	decodeMachineGroup,
	decodePromiseRequest,
	decodeReleasePage,
	decodeShardOwner,
	decodeTerminalPage,
	deletePages,
	encodeCancellations,
	encodeHistoryRecord,
	encodeJobRecord,
	encodeMachineGroup,
	encodePeerStatus,
	encodeShardOwner,
	encodeTerminalPage,
	Membership,
	type MembershipEvents,
	markReleased,
	migrateTerminalRecords,
	moveJobToShard,
	type PageLimits,
	putJobRecord,
	type RecordReader,
	recordTerminalJobs,
	type TerminalJob,
	terminalJobRecord,
} from '@heathroad/cluster'
import { deriveLimits } from '@heathroad/config'
import { CursorCodec, type Selection, type StreamPosition } from '@heathroad/events'
import {
	archivePageKey,
	decodeArchivePage,
	encodeArchivePage,
	packJobs,
	unpackJobs,
} from '@heathroad/history'
import { type Admission, type Release, readAdmission, readManifest, readRelease } from '@heathroad/plugin-api'
import {
	fieldName,
	jobsPackage,
	jobsService,
	stateName,
	stateOf,
	toHttpSubmission,
	toSubmitRequest,
} from '@heathroad/proto'
import { createStoreClient, type StoreClient, type TransactionContent, WatchCache } from '@heathroad/store'
import { plainSettings, VirtualClock } from '@heathroad/testkit'
import {
	type Condition,
	decode,
	EXIT_REASONS_BY_WIRE_NAME,
	encodeCommands,
	encodeSubmission,
	type HttpClient,
	type JobStatusResponse,
	type Mutation,
	parseHeartbeat,
	parseMachineIds,
	parseMachineTypes,
	parseRangeResponse,
	parseSubmission,
	parseWatchResponse,
	TASK_STATES_BY_WIRE_NAME,
} from '@heathroad/wire'
import { Effect } from 'effect'
import { bodySentBy, requestsOf } from './golden/capture.js'
import { bytesOf, fixtureText, readFixture, updating, viewOf, writeFixture } from './golden/fixtures.js'
import * as values from './golden/values.js'

interface GoldenForm {
	bytes: string
	view: unknown
}

const FIXTURE = 'forms.json'
const written: Record<string, GoldenForm> = {}
const golden: Record<string, GoldenForm> = updating ? {} : JSON.parse(readFixture(FIXTURE))

/** The value that the bytes of a form hold, once these are proven to be what the code writes today. */
const proven = (name: string, value: unknown): unknown => {
	assert.equal(written[name], undefined, `${name} stands twice`)
	written[name] = { bytes: bytesOf(value), view: viewOf(value) }
	if (updating) golden[name] = written[name]
	assert.deepEqual(written[name].view, golden[name]?.view, name)
	assert.equal(written[name].bytes, golden[name].bytes, name)
	return decode(Buffer.from(golden[name].bytes, 'hex'))
}

/** A form with a writer and a reader: the bytes are the same, and mean the same. */
const roundTrip = <Value>(
	name: string,
	value: Value,
	write: (value: Value) => unknown,
	read: (stored: unknown) => unknown,
): void => {
	const understood = read(proven(name, write(value)))
	assert.deepEqual(understood, value, `${name}: read`)
	assert.equal(bytesOf(write(understood as Value)), golden[name].bytes, `${name}: written again`)
}

/** For a type that is stored or sent as it is; an explicit codec takes this one's place. */
const asItIs = <Value>(value: Value): unknown => value

/** The name on the wire of a value in the code; null: it has none. */
const wireName = (names: ReadonlyMap<unknown, unknown>, value: unknown): unknown =>
	[...names].find(([, known]) => known === value)?.[0] ?? null

test('records of the state', () => {
	roundTrip('part, last', values.partRecord, encodeShardOwner, decodeShardOwner)
	roundTrip('fleet', values.fleetRecord, encodeMachineGroup, decodeMachineGroup)
	roundTrip('fleet: a rental under way', values.rentalRecord, encodeMachineGroup, decodeMachineGroup)
	roundTrip('job: moved', values.checkedJob, encodeJobRecord, decodeJobRecord)
	roundTrip('job: started', values.startedJob, encodeJobRecord, decodeJobRecord)
	roundTrip('job: done, first form', values.doneJob, encodeJobRecord, decodeJobRecord)
	roundTrip('job: cancelled, first form', values.cancelledJob, encodeJobRecord, decodeJobRecord)
	roundTrip('history', values.historyRecord, encodeHistoryRecord, decodeHistoryRecord)
	roundTrip('over', values.page, encodeTerminalPage, decodeTerminalPage)
	roundTrip('catalog', values.machineTypes, asItIs, asItIs)
	roundTrip(
		'intake',
		[values.acceptedJob, values.checkedJob, { ...values.acceptedJob, spec: values.gangSpec }],
		(jobs) => acceptJobs(known({}), 'intake/one', jobs).mutations.map(dataOf)[0],
		decodeAcceptedBatch,
	)
	roundTrip('released', ['job-000412', 'job-000413'], (uids) => ({ uids }), decodeReleasePage)
})

test('records of the archive', () => {
	roundTrip(
		'archive: packed',
		values.pastJobs,
		(jobs) => packJobs(jobs),
		(packed) => unpackJobs(String(packed)),
	)
	const key = archivePageKey(2, values.emptiedLeaf.to)
	roundTrip(
		'archive: leaf',
		{ ...values.emptiedLeaf, packed: packJobs(values.pastJobs) },
		encodeArchivePage,
		(stored) => decodeArchivePage(2, key, stored, values.emptiedLeaf.modRevision),
	)
	proven('archive: key of a leaf', key)
})

/** Records as a write finds them. */
const known = (entries: Record<string, ReturnType<RecordReader['get']>>): RecordReader => ({
	get: (key) => entries[key],
	modRevision: (key) => entries[key]?.modRevision ?? 0,
})

const dataOf = (change: Mutation): unknown => ('set' in change ? change.data : null)

const storeClient = (caller: HttpClient): StoreClient => createStoreClient(caller, 'state:1', 1000, () => {})

/** The body of the transaction that carries out a write. */
const transaction = ({ conditions, mutations: changes }: TransactionContent): Promise<unknown> =>
	bodySentBy((caller) => storeClient(caller).transact(conditions, changes))

test('transactions', async () => {
	const room: PageLimits = { maxValueChars: 4000, maxJobs: 2 }
	const over: TerminalJob[] = values.page.batches.flatMap((batch) => batch.jobs)
	const first: TerminalJob = { ...over[0], uid: 'job-000009' }
	const entries = known({
		history: { data: encodeHistoryRecord(values.historyRecord), modRevision: 40 },
		'part/1': { data: encodeShardOwner(values.partRecord), modRevision: 9 },
		'over/1': { data: encodeTerminalPage(values.page), modRevision: 50 },
		'released/1/0': { data: { uids: ['job-000001'] }, modRevision: 60 },
	})
	const owning: Condition = { key: 'heathroad/part/1', modRevision: 9 }
	const uid = values.jobSpec.uid
	const writes: Record<string, TransactionContent> = {
		acceptance: acceptJobs(entries, 'intake/two', [values.acceptedJob, values.checkedJob], 3),
		'own record': putJobRecord(entries, uid, 12, values.startedJob, [
			{ set: `heathroad/done/${uid}/1`, data: [1024, 1100] },
		]),
		relocation: moveJobToShard(entries, owning, uid, { record: values.startedJob, modRevision: 12 }, 2),
		'final states: the page is full': recordTerminalJobs(entries, 1, [first], room).content,
		'final states: a new page': recordTerminalJobs(entries, 0, over, room).content,
		migration: migrateTerminalRecords(entries, 0, [{ job: first, modRevision: 33 }], room).content,
		'pages leave': deletePages(entries, 1, ['over/1/50']),
		'next turn': advanceArchivalEpoch(entries, { ...values.historyRecord, archivalEpoch: 8 }),
		release: markReleased(entries, 1, ['job-000412'], () => true, { maxPageChars: 4000, maxPages: 4 })
			.content,
		'with a lease': {
			conditions: [owning],
			mutations: [{ set: 'heathroad/part/1', data: encodeShardOwner(values.partRecord), leaseId: 7 }],
		},
	}
	for (const [name, content] of Object.entries(writes))
		proven(`transaction: ${name}`, await transaction(content))
	proven('job: an ended one as a record', encodeJobRecord(terminalJobRecord(1, over[1])))
})

test('requests to the state, and its answers', async () => {
	const requests = await requestsOf({ status: 200, body: { epoch: 1 } }, (caller) => {
		const client = storeClient(caller)
		const calls: Effect.Effect<unknown, unknown>[] = [
			client.list('heathroad/', null, 1000),
			client.list('heathroad/', 'heathroad/job/job-000412', 200),
			client.watch(118, 2500),
			client.watch(118, 0, 'heathroad'),
			client.grantLease(5000),
			client.renewLease(7),
			client.revokeLease(7),
		]
		return Effect.forEach(calls, (call) => Effect.ignore(call))
	})
	proven('state: requests', requests)
	const log = {
		epoch: 9,
		log: [
			{ set: 'heathroad/part/0', data: { a: 1 }, stamp: 8 },
			{ delete: 'heathroad/part/1', stamp: 9 },
		],
	}
	assert.deepEqual(parseWatchResponse(proven('state: a watch answer', log)), {
		revision: 9,
		log: [
			{ key: 'heathroad/part/0', data: { a: 1 }, modRevision: 8 },
			{ key: 'heathroad/part/1', data: undefined, modRevision: 9 },
		],
	})
	const range = { entries: [{ key: 'heathroad/part/0', data: 1, stamp: 8 }], truncated: true, epoch: 9 }
	assert.deepEqual(parseRangeResponse(proven('state: a range answer', range)), {
		entries: [{ key: 'heathroad/part/0', data: 1, modRevision: 8 }],
		more: true,
		revision: 9,
	})
})

test('requests to the cloud, and its answers', async () => {
	const rental: RentalRequest = { name: 'r1-9-1', machineType: 'box', zone: 'a', spot: true, count: 3 }
	const requests = await requestsOf({ status: 200, body: {} }, (caller) => {
		const cloud = new CloudClient(caller, 'cloud:1', 1000, 1000, () => 0)
		return Effect.all([cloud.fetchMachineTypes(), cloud.rent(rental), cloud.returnMachines(['i-000001'])])
	})
	proven('cloud: requests', requests)
	const [type] = values.machineTypes
	const flavour = {
		label: type.name,
		cpus: type.cpus,
		gpus: type.gpus,
		ramGb: type.ramGb,
		cacheGb: type.cacheGb,
		fetchGbPerS: type.fetchGbPerS,
		hourly: type.price,
		spotPrice: type.spotPrice,
		bootS: type.bootS,
		sites: type.zones,
	}
	const catalog = proven('cloud: the catalog', { flavours: [flavour] })
	assert.deepEqual(parseMachineTypes(catalog), values.machineTypes)
	assert.deepEqual(parseMachineIds(proven('cloud: hosts', { hosts: ['i-000001'] })), ['i-000001'])
})

/** Member c-1 of three, which has heard nothing of the state for long. */
const member = async (): Promise<Membership> => {
	let nowMs = 0
	const events: MembershipEvents = {
		onShardAcquired: () => {},
		onShardLost: () => {},
		isQuiescent: () => true,
		unreachableMachines: () => 0,
		localStatus: () => {
			const { news } = values
			return {
				runningTasks: news.runningTasks,
				quarantinedJobs: news.quarantinedJobs,
				ownerLookups: news.ownerLookups,
				partitionedShards: news.partitionedShards,
				teamUsage: news.teamUsage,
				ready: news.ready,
				exhaustedOffers: news.exhaustedOffers,
				supportsArchive: news.supportsArchive,
			}
		},
		onPeerStatus: () => {},
		cancellationsSince: () => values.cancellations,
		applyCancellations: () => {},
		log: () => {},
	}
	const mirror = new WatchCache(
		() => {},
		1,
		() => nowMs,
	)
	mirror.applyOwnWrite('part/0', encodeShardOwner({ ...values.partRecord, owner: 'c-0' }), 9)
	const silent: HttpClient = { request: () => Effect.never }
	const derived = deriveLimits(plainSettings('c-1', ['c-0', 'c-2']))
	const made: Membership[] = []
	// Its incarnation is made of the time and of chance: both are the seeded clock's while this runs.
	await new VirtualClock(5).run(0, () => {
		made.push(new Membership(derived, mirror, storeClient(silent), silent, () => nowMs, events))
	})
	for (; nowMs < 60_000; nowMs += 250) made[0].detectStandstill()
	return made[0]
}

test('messages between controllers', async () => {
	const one = await member()
	const told = proven('news', encodePeerStatus(values.news))
	proven('news: the answer', one.handlePeerRequest('/peer/news', told))
	assert.deepEqual(one.peers.find((peer) => peer.name === 'c-0')?.status, values.news)
	// Taken from the message itself: these are its names on the wire.
	const { stranded: _, history: __, ...older } = told as Record<string, unknown>
	one.handlePeerRequest('/peer/news', proven('news: of an older version', older))
	const understood = { ...values.news, partitionedShards: [], supportsArchive: false }
	assert.deepEqual(one.peers.find((peer) => peer.name === 'c-0')?.status, understood)
	roundTrip(
		'promise: the question',
		values.promiseQuestion,
		(question) => ({
			name: question.member,
			owned: Object.fromEntries(question.ownedShards),
			epoch: question.revision,
		}),
		decodePromiseRequest,
	)
	const question = decode(Buffer.from(golden['promise: the question'].bytes, 'hex'))
	proven('promise: given', one.handlePeerRequest('/peer/promise', question))
	proven('promise: refused', one.handlePeerRequest('/peer/promise', null))
	roundTrip('promise: cancellations', values.cancellations, encodeCancellations, decodeCancellations)
})

test('messages of workers and users', () => {
	proven('orders: in a report’s answer', encodeCommands(5, values.orders))
	proven('orders: direct', encodeCommands(2 ** 33, values.orders, 2n ** 60n))
	const { report } = values
	const body = proven('report', {
		host: report.machineId,
		addr: report.address,
		flavour: report.machineType,
		site: report.zone,
		reclaimable: report.spot,
		tenure: report.agentEpoch,
		counter: report.sequence,
		fence: report.fencingToken,
		warningS: report.preemptionNoticeS,
		pieces: report.tasks.map((task) => ({
			piece: task.taskName,
			try: task.attempt,
			status: wireName(TASK_STATES_BY_WIRE_NAME, task.state),
			cause: wireName(EXIT_REASONS_BY_WIRE_NAME, task.exitReason),
		})),
	})
	assert.deepEqual(parseHeartbeat(body), values.report)
	roundTrip('submission', values.jobSpec, encodeSubmission, parseSubmission)
	roundTrip('submission: all that may be null', values.plainSpec, encodeSubmission, parseSubmission)
	roundTrip('submission: a gang', values.gangSpec, encodeSubmission, parseSubmission)
	const answer: JobStatusResponse = { uid: 'job-000412', status: 'aborted', done: 3, running: 0 }
	proven('answer to a user', answer)
})

test('gRPC: messages and cursors', () => {
	const { Submit, Get, Watch } = jobsService(jobsPackage())
	const states = (['pending', 'running', 'done', 'aborted'] as const).map((status) => {
		const name = stateName(status)
		assert.equal(stateOf(name), status)
		return name
	})
	proven('gRPC: states', states)
	for (const spec of [values.jobSpec, values.plainSpec, values.gangSpec]) {
		const request = Submit.requestSerialize(toSubmitRequest(spec))
		proven(`gRPC: submission of ${spec.uid}`, request.toString('hex'))
		const received = Submit.requestDeserialize(request)
		assert.deepEqual(toHttpSubmission(received), encodeSubmission(spec))
	}
	const [uid, counts] = ['job-000412', { done: 3, running: 2, tasks: 9 }]
	proven('gRPC: a job', Get.responseSerialize({ uid, state: 'STATE_RUNNING', ...counts }).toString('hex'))
	const event = Watch.responseSerialize({ uid, state: 'STATE_CANCELLED', ...counts, cursor: 'c' })
	proven('gRPC: an event', event.toString('hex'))
	const fields = Object.keys(encodeSubmission(values.jobSpec))
	proven('gRPC: names of the fields', Object.fromEntries(fields.map((field) => [field, fieldName(field)])))
	const places: StreamPosition[] = [
		{ phase: 'present', revision: 118, uid: 'job-000412' },
		{ phase: 'live', revision: 2 ** 33, uid: '~' },
	]
	const selections: Selection[] = [{ team: 'core' }, { uids: ['job-000413', 'job-000412'] }]
	for (const [number, selection] of selections.entries()) {
		const cursors = new CursorCodec('an installation', selection)
		for (const place of places)
			roundTrip(
				`cursor: ${place.phase} of selection ${number}`,
				place,
				(one) => cursors.encode(one),
				(text) => cursors.decode(String(text)),
			)
	}
})

test('plug-ins: what they are told and may answer', () => {
	roundTrip(
		'plug-in: arguments of a release',
		[values.jobSpec, values.facts],
		(args) => JSON.stringify(args),
		(text) => JSON.parse(String(text)),
	)
	const admissions: Admission[] = [{ pass: true }, { refuse: 'no budget' }]
	for (const answer of admissions)
		roundTrip(`plug-in: ${JSON.stringify(answer)}`, answer, asItIs, readAdmission)
	const releases: Release[] = [{ release: true }, { hold: 'not yet', againS: 30 }]
	for (const answer of releases) roundTrip(`plug-in: ${JSON.stringify(answer)}`, answer, asItIs, readRelease)
	const manifest = {
		name: 'budget',
		version: '1.2.0',
		api: 1,
		main: 'index.js',
		digest: `sha256-${'0'.repeat(64)}`,
		hooks: ['admit', 'release'],
		classes: ['risk'],
		teams: ['core'],
		ask: 'class',
		needs: ['node', 'team-jobs'],
	}
	roundTrip('plug-in: a manifest', manifest, asItIs, (stored) => readManifest(JSON.stringify(stored)))
})

test('every form of the fixture was written', () => {
	if (updating) writeFixture(FIXTURE, fixtureText(written))
	assert.deepEqual(Object.keys(written).sort(), Object.keys(JSON.parse(readFixture(FIXTURE))).sort())
})

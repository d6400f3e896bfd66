/**
 * Golden formats: each value of `tests/golden/values.ts` is encoded as it is stored or sent, compared with the bytes in
 * `tests/fixtures/golden/forms.json`, and decoded again from those bytes. A rename in the code must change neither.
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
import { bytesOf, fixtureText, isUpdating, readFixture, viewOf, writeFixture } from './golden/fixtures.js'
import * as values from './golden/values.js'

interface GoldenFormat {
	bytes: string
	view: unknown
}

const FIXTURE = 'forms.json'
const written: Record<string, GoldenFormat> = {}
const golden: Record<string, GoldenFormat> = isUpdating ? {} : JSON.parse(readFixture(FIXTURE))

/** Asserts that the code encodes the value to the bytes of the fixture, and returns what these bytes decode to. */
const assertGolden = (name: string, value: unknown): unknown => {
	assert.equal(written[name], undefined, `${name} occurs twice`)
	written[name] = { bytes: bytesOf(value), view: viewOf(value) }
	if (isUpdating) golden[name] = written[name]
	assert.deepEqual(written[name].view, golden[name]?.view, name)
	assert.equal(written[name].bytes, golden[name].bytes, name)
	return decode(Buffer.from(golden[name].bytes, 'hex'))
}

/** Asserts that a value is encoded to the bytes of the fixture, and that these are decoded to the value. */
const roundTrip = <Value>(
	name: string,
	value: Value,
	encodeValue: (value: Value) => unknown,
	decodeValue: (stored: unknown) => unknown,
): void => {
	const decoded = decodeValue(assertGolden(name, encodeValue(value)))
	assert.deepEqual(decoded, value, `${name}: decoded`)
	assert.equal(bytesOf(encodeValue(decoded as Value)), golden[name].bytes, `${name}: encoded again`)
}

/** The codec of a type that is stored or sent unchanged. */
const unchanged = <Value>(value: Value): unknown => value

/** The wire name of a value in the code, or null. */
const wireName = (names: ReadonlyMap<unknown, unknown>, value: unknown): unknown =>
	[...names].find(([, known]) => known === value)?.[0] ?? null

test('records of the state service', () => {
	roundTrip('part, last', values.shardOwnerRecord, encodeShardOwner, decodeShardOwner)
	roundTrip('fleet', values.machineGroupRecord, encodeMachineGroup, decodeMachineGroup)
	roundTrip('fleet: a rental under way', values.scaleOutRecord, encodeMachineGroup, decodeMachineGroup)
	roundTrip('job: moved', values.checkedJob, encodeJobRecord, decodeJobRecord)
	roundTrip('job: started', values.startedJob, encodeJobRecord, decodeJobRecord)
	roundTrip('job: done, first form', values.doneJob, encodeJobRecord, decodeJobRecord)
	roundTrip('job: cancelled, first form', values.cancelledJob, encodeJobRecord, decodeJobRecord)
	roundTrip('history', values.historyRecord, encodeHistoryRecord, decodeHistoryRecord)
	roundTrip('over', values.terminalPage, encodeTerminalPage, decodeTerminalPage)
	roundTrip('catalog', values.machineTypes, unchanged, unchanged)
	roundTrip(
		'intake',
		[values.acceptedJob, values.checkedJob, { ...values.acceptedJob, spec: values.gangSpec }],
		(jobs) => acceptJobs(recordReader({}), 'intake/one', jobs).mutations.map(dataOf)[0],
		decodeAcceptedBatch,
	)
	roundTrip('released', ['job-000412', 'job-000413'], (uids) => ({ uids }), decodeReleasePage)
})

test('records of the archive', () => {
	roundTrip(
		'archive: packed',
		values.archivedJobs,
		(jobs) => packJobs(jobs),
		(packed) => unpackJobs(String(packed)),
	)
	const key = archivePageKey(2, values.emptiedArchivePage.to)
	roundTrip(
		'archive: leaf',
		{ ...values.emptiedArchivePage, packed: packJobs(values.archivedJobs) },
		encodeArchivePage,
		(stored) => decodeArchivePage(2, key, stored, values.emptiedArchivePage.modRevision),
	)
	assertGolden('archive: key of a leaf', key)
})

/** The stored records that a write reads. */
const recordReader = (entries: Record<string, ReturnType<RecordReader['get']>>): RecordReader => ({
	get: (key) => entries[key],
	modRevision: (key) => entries[key]?.modRevision ?? 0,
})

const dataOf = (change: Mutation): unknown => ('set' in change ? change.data : null)

const storeClient = (httpClient: HttpClient): StoreClient =>
	createStoreClient(httpClient, 'state:1', 1000, () => {})

/** The body of the transaction of a write. */
const transaction = ({ conditions, mutations: changes }: TransactionContent): Promise<unknown> =>
	bodySentBy((httpClient) => storeClient(httpClient).transact(conditions, changes))

test('transactions', async () => {
	const pageLimits: PageLimits = { maxValueChars: 4000, maxJobs: 2 }
	const terminalJobs: TerminalJob[] = values.terminalPage.batches.flatMap((batch) => batch.jobs)
	const first: TerminalJob = { ...terminalJobs[0], uid: 'job-000009' }
	const entries = recordReader({
		history: { data: encodeHistoryRecord(values.historyRecord), modRevision: 40 },
		'part/1': { data: encodeShardOwner(values.shardOwnerRecord), modRevision: 9 },
		'over/1': { data: encodeTerminalPage(values.terminalPage), modRevision: 50 },
		'released/1/0': { data: { uids: ['job-000001'] }, modRevision: 60 },
	})
	const ownerCondition: Condition = { key: 'heathroad/part/1', modRevision: 9 }
	const uid = values.jobSpec.uid
	const writes: Record<string, TransactionContent> = {
		acceptance: acceptJobs(entries, 'intake/two', [values.acceptedJob, values.checkedJob], 3),
		'own record': putJobRecord(entries, uid, 12, values.startedJob, [
			{ set: `heathroad/done/${uid}/1`, data: [1024, 1100] },
		]),
		relocation: moveJobToShard(
			entries,
			ownerCondition,
			uid,
			{ record: values.startedJob, modRevision: 12 },
			2,
		),
		'final states: the page is full': recordTerminalJobs(
			entries,
			[{ job: first, known: { record: { shardId: 1 }, modRevision: 0 } }],
			pageLimits,
		).content,
		'final states: a new page': recordTerminalJobs(
			entries,
			terminalJobs.map((job) => ({ job, known: { record: { shardId: 0 }, modRevision: 0 } })),
			pageLimits,
		).content,
		migration: migrateTerminalRecords(entries, 0, [{ job: first, modRevision: 33 }], pageLimits).content,
		'pages leave': deletePages(entries, 1, ['over/1/50']),
		'next turn': advanceArchivalEpoch(entries, { ...values.historyRecord, archivalEpoch: 8 }),
		release: markReleased(entries, 1, ['job-000412'], () => true, { maxPageChars: 4000, maxPages: 4 })
			.content,
		'with a lease': {
			conditions: [ownerCondition],
			mutations: [{ set: 'heathroad/part/1', data: encodeShardOwner(values.shardOwnerRecord), leaseId: 7 }],
		},
	}
	for (const [name, content] of Object.entries(writes))
		assertGolden(`transaction: ${name}`, await transaction(content))
	assertGolden('job: an ended one as a record', encodeJobRecord(terminalJobRecord(1, terminalJobs[1])))
})

test('requests to the state service, and its responses', async () => {
	const requests = await requestsOf({ status: 200, body: { epoch: 1 } }, (httpClient) => {
		const client = storeClient(httpClient)
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
	assertGolden('state: requests', requests)
	const log = {
		epoch: 9,
		log: [
			{ set: 'heathroad/part/0', data: { a: 1 }, stamp: 8 },
			{ delete: 'heathroad/part/1', stamp: 9 },
		],
	}
	assert.deepEqual(parseWatchResponse(assertGolden('state: a watch answer', log)), {
		revision: 9,
		log: [
			{ key: 'heathroad/part/0', data: { a: 1 }, modRevision: 8 },
			{ key: 'heathroad/part/1', data: undefined, modRevision: 9 },
		],
	})
	const range = { entries: [{ key: 'heathroad/part/0', data: 1, stamp: 8 }], truncated: true, epoch: 9 }
	assert.deepEqual(parseRangeResponse(assertGolden('state: a range answer', range)), {
		entries: [{ key: 'heathroad/part/0', data: 1, modRevision: 8 }],
		more: true,
		revision: 9,
	})
})

test('requests to the cloud, and its responses', async () => {
	const rental: RentalRequest = { name: 'r1-9-1', machineType: 'box', zone: 'a', spot: true, count: 3 }
	const requests = await requestsOf({ status: 200, body: {} }, (httpClient) => {
		const cloud = new CloudClient(httpClient, 'cloud:1', 1000, 1000, () => 0)
		return Effect.all([cloud.fetchMachineTypes(), cloud.rent(rental), cloud.releaseMachines(['i-000001'])])
	})
	assertGolden('cloud: requests', requests)
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
	const catalog = assertGolden('cloud: the catalog', { flavours: [flavour] })
	assert.deepEqual(parseMachineTypes(catalog), values.machineTypes)
	assert.deepEqual(parseMachineIds(assertGolden('cloud: hosts', { hosts: ['i-000001'] })), ['i-000001'])
})

/** Member c-1 of three, which has had no response from the state service for a minute. */
const createMembership = async (): Promise<Membership> => {
	let nowMs = 0
	const events: MembershipEvents = {
		onShardAcquired: () => {},
		onShardLost: () => {},
		isQuiescent: () => true,
		unreachableMachines: () => 0,
		localStatus: () => {
			const { peerStatus } = values
			return {
				runningTasks: peerStatus.runningTasks,
				quarantinedJobs: peerStatus.quarantinedJobs,
				ownerLookups: peerStatus.ownerLookups,
				partitionedShards: peerStatus.partitionedShards,
				teamUsage: peerStatus.teamUsage,
				ready: peerStatus.ready,
				exhaustedOffers: peerStatus.exhaustedOffers,
				supportsArchive: peerStatus.supportsArchive,
			}
		},
		onPeerStatus: () => {},
		cancellationsSince: () => values.cancellations,
		applyCancellations: () => {},
		log: () => {},
	}
	const watchCache = new WatchCache(
		() => {},
		1,
		() => nowMs,
	)
	watchCache.applyOwnWrite('part/0', encodeShardOwner({ ...values.shardOwnerRecord, owner: 'c-0' }), 9)
	const unresponsiveClient: HttpClient = { request: () => Effect.never }
	const limits = deriveLimits(plainSettings('c-1', ['c-0', 'c-2']))
	const created: Membership[] = []
	// Its incarnation consists of the time and a random number; the seeded clock provides both here.
	await new VirtualClock(5).run(0, () => {
		created.push(
			new Membership(
				limits,
				watchCache,
				storeClient(unresponsiveClient),
				unresponsiveClient,
				() => nowMs,
				events,
			),
		)
	})
	for (; nowMs < 60_000; nowMs += 250) created[0].detectStandstill()
	return created[0]
}

test('messages between controllers', async () => {
	const membership = await createMembership()
	const statusMessage = assertGolden('news', encodePeerStatus(values.peerStatus))
	assertGolden('news: the answer', membership.handlePeerRequest('/peer/news', statusMessage))
	assert.deepEqual(membership.peers.find((peer) => peer.name === 'c-0')?.status, values.peerStatus)
	// Removed from the message itself, by their wire names.
	const { stranded: _, history: __, ...olderMessage } = statusMessage as Record<string, unknown>
	membership.handlePeerRequest('/peer/news', assertGolden('news: of an older version', olderMessage))
	const decoded = { ...values.peerStatus, partitionedShards: [], supportsArchive: false }
	assert.deepEqual(membership.peers.find((peer) => peer.name === 'c-0')?.status, decoded)
	roundTrip(
		'promise: the question',
		values.takeoverPromiseRequest,
		(promiseRequest) => ({
			name: promiseRequest.member,
			owned: Object.fromEntries(promiseRequest.ownedShards),
			epoch: promiseRequest.revision,
		}),
		decodePromiseRequest,
	)
	const promiseRequest = decode(Buffer.from(golden['promise: the question'].bytes, 'hex'))
	assertGolden('promise: given', membership.handlePeerRequest('/peer/promise', promiseRequest))
	assertGolden('promise: refused', membership.handlePeerRequest('/peer/promise', null))
	roundTrip('promise: cancellations', values.cancellations, encodeCancellations, decodeCancellations)
})

test('messages of workers and users', () => {
	assertGolden('orders: in a report’s answer', encodeCommands(5, values.commands))
	assertGolden('orders: direct', encodeCommands(2 ** 33, values.commands, 2n ** 60n))
	const { heartbeat } = values
	const body = assertGolden('report', {
		host: heartbeat.machineId,
		addr: heartbeat.address,
		flavour: heartbeat.machineType,
		site: heartbeat.zone,
		reclaimable: heartbeat.spot,
		tenure: heartbeat.agentEpoch,
		counter: heartbeat.sequence,
		fence: heartbeat.fencingToken,
		warningS: heartbeat.preemptionNoticeS,
		pieces: heartbeat.tasks.map((task) => ({
			piece: task.taskName,
			try: task.attempt,
			status: wireName(TASK_STATES_BY_WIRE_NAME, task.state),
			cause: wireName(EXIT_REASONS_BY_WIRE_NAME, task.exitReason),
		})),
	})
	assert.deepEqual(parseHeartbeat(body), values.heartbeat)
	roundTrip('submission', values.jobSpec, encodeSubmission, parseSubmission)
	roundTrip('submission: all that may be null', values.plainSpec, encodeSubmission, parseSubmission)
	roundTrip('submission: a gang', values.gangSpec, encodeSubmission, parseSubmission)
	const answer: JobStatusResponse = { uid: 'job-000412', status: 'aborted', done: 3, running: 0 }
	assertGolden('answer to a user', answer)
})

test('gRPC: messages and cursors', () => {
	const { Submit, Get, Watch } = jobsService(jobsPackage())
	const states = (['pending', 'running', 'done', 'aborted'] as const).map((status) => {
		const name = stateName(status)
		assert.equal(stateOf(name), status)
		return name
	})
	assertGolden('gRPC: states', states)
	for (const spec of [values.jobSpec, values.plainSpec, values.gangSpec]) {
		const request = Submit.requestSerialize(toSubmitRequest(spec))
		assertGolden(`gRPC: submission of ${spec.uid}`, request.toString('hex'))
		const received = Submit.requestDeserialize(request)
		assert.deepEqual(toHttpSubmission(received), encodeSubmission(spec))
	}
	const [uid, counts] = ['job-000412', { done: 3, running: 2, tasks: 9 }]
	assertGolden(
		'gRPC: a job',
		Get.responseSerialize({ uid, state: 'STATE_RUNNING', ...counts }).toString('hex'),
	)
	const event = Watch.responseSerialize({ uid, state: 'STATE_CANCELLED', ...counts, cursor: 'c' })
	assertGolden('gRPC: an event', event.toString('hex'))
	const fields = Object.keys(encodeSubmission(values.jobSpec))
	assertGolden(
		'gRPC: names of the fields',
		Object.fromEntries(fields.map((field) => [field, fieldName(field)])),
	)
	const positions: StreamPosition[] = [
		{ phase: 'present', revision: 118, uid: 'job-000412' },
		{ phase: 'live', revision: 2 ** 33, uid: '~' },
	]
	const selections: Selection[] = [{ team: 'core' }, { uids: ['job-000413', 'job-000412'] }]
	for (const [number, selection] of selections.entries()) {
		const cursors = new CursorCodec('an installation', selection)
		for (const position of positions)
			roundTrip(
				`cursor: ${position.phase} of selection ${number}`,
				position,
				(one) => cursors.encode(one),
				(text) => cursors.decode(String(text)),
			)
	}
})

test('plug-ins: arguments and return values', () => {
	roundTrip(
		'plug-in: arguments of a release',
		[values.jobSpec, values.facts],
		(args) => JSON.stringify(args),
		(text) => JSON.parse(String(text)),
	)
	const admissions: Admission[] = [{ pass: true }, { refuse: 'no budget' }]
	for (const answer of admissions)
		roundTrip(`plug-in: ${JSON.stringify(answer)}`, answer, unchanged, readAdmission)
	const releases: Release[] = [{ release: true }, { hold: 'not yet', againS: 30 }]
	for (const answer of releases)
		roundTrip(`plug-in: ${JSON.stringify(answer)}`, answer, unchanged, readRelease)
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
	roundTrip('plug-in: a manifest', manifest, unchanged, (stored) => readManifest(JSON.stringify(stored)))
})

test('every format of the fixture was compared', () => {
	if (isUpdating) writeFixture(FIXTURE, fixtureText(written))
	assert.deepEqual(Object.keys(written).sort(), Object.keys(JSON.parse(readFixture(FIXTURE))).sort())
})

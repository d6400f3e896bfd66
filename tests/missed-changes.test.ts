/**
 * Jobs that stayed open for ever at a controller that missed changes of the records.
 *
 * The state service keeps a bounded number of changes for watches. A controller that is cut off for longer reads all keys
 * anew. A job of which it held only the acceptance may be over and archived by then, and the record of its acceptance be
 * removed: nothing that is left names the job. The controller went on to hold it for open. It answered that a done job is
 * pending, streams of the job never got its terminal state, and as the owner of the job's shard it would have started the
 * job again.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobEvent, Selection } from '@heathroad/events'
import { ServiceRecords } from '@heathroad/grpc'
import { type ArchiveLookup, ordinalOf } from '@heathroad/history'
import { JobLocator, type Service } from '@heathroad/server'
import { arrayJob, attachStreams, Simulation, StreamReader } from '@heathroad/testkit'
import { Effect } from 'effect'

const CONTROLLERS = 3
/** This controller is cut off from the state service, and misses more changes than are kept for watches. */
const CUT_OFF = 2
const CUT = { atS: 6, forS: 200 }
const UNTIL_S = 330
const WATCH_LOG = 20
const SMALL_ARCHIVE = { archiveBatchSize: 4, writeRateShare: 0.5, pageCacheMb: 0.1 }

const early = Array.from({ length: 6 }, (_, index) => ({
	atS: 2 + index * 0.5,
	spec: arrayJob(`job-0009${String(index).padStart(2, '0')}`, { tasks: 2, expectedS: 20 }),
	...(index === 5 ? { cancelAtS: 20 } : {}),
}))
/** They keep the records changing while the controller is cut off, and let the early ones be archived. */
const later = Array.from({ length: 30 }, (_, index) => ({
	atS: 30 + index * 5,
	spec: arrayJob(`job-0019${String(index).padStart(2, '0')}`, { tasks: 1, expectedS: 2 }),
}))
const jobs = [...early, ...later]
const uids = jobs.map((job) => job.spec.uid)

const playDay = async (seed: number) => {
	const simulation = new Simulation({
		seed,
		untilS: UNTIL_S,
		jobs,
		faults: [{ atS: CUT.atS, kind: 'cut', who: [CUT_OFF], from: ['state'], forS: CUT.forS }],
		history: SMALL_ARCHIVE,
		watchLog: WATCH_LOG,
	})
	const streams = attachStreams(simulation)
	const startReader = (name: string, selection: Selection) => {
		const reader = { name, terminalStates: new Map<string, string>(), refusals: [] as string[] }
		new StreamReader(simulation, streams, CONTROLLERS, selection, {
			opened: () => {},
			rejected: (_controller, why) => reader.refusals.push(why),
			received: (_controller, event: JobEvent) => {
				if (event.state === 'done' || event.state === 'cancelled')
					reader.terminalStates.set(event.uid, event.state)
			},
		})
		return reader
	}
	const readers = Array.from({ length: 6 }, (_, index) => startReader(`by ids ${index}`, { uids }))
	const statuses = new Map<string, unknown>()
	simulation.clock.after((UNTIL_S - 10) * 1000, () => {
		for (const uid of uids)
			void simulation.sendRequest(CUT_OFF, 'GET', `/v2/runs/${uid}`, undefined).then((response) => {
				statuses.set(uid, (response?.body as { status?: string } | undefined)?.status ?? response?.status)
			})
	})
	await simulation.run()
	return { simulation, readers, statuses }
}

test('a controller that missed too many changes knows the jobs that were archived meanwhile for over', async () => {
	for (const seed of [91, 92, 93]) {
		const { simulation, readers, statuses } = await playDay(seed)
		assert.deepEqual(simulation.invariants.violations, [], `seed ${seed}`)
		assert.deepEqual(simulation.invariants.unfinished(), [], `seed ${seed}`)
		assert.ok(simulation.state.count('heathroad-past/') > 0, 'states were archived')
		const open = uids.filter((uid) => !['done', 'aborted'].includes(String(statuses.get(uid))))
		assert.deepEqual(
			open.map((uid) => `${uid} ${statuses.get(uid)}`),
			[],
			`seed ${seed}: at the controller that was cut off`,
		)
		for (const { name, terminalStates } of readers)
			assert.deepEqual(
				uids.filter((uid) => !terminalStates.has(uid)),
				[],
				`seed ${seed}, ${name}`,
			)
	}
})

/**
 * A stream of two jobs is prepared: the first is looked up in the archive, the second is in memory. Meanwhile the second
 * leaves memory as well. A stream that began then would know nothing of it, and never deliver its terminal state.
 */
test('a stream does not begin if a job leaves memory while others are looked up', async () => {
	const [archived, inMemory] = ['job-000901', 'job-000902']
	const known = new Set([inMemory])
	let finishLookUp: (found: ArchiveLookup) => void = () => {}
	const parts = {
		jobs: {
			get: (uid: string) => (known.has(uid) ? { record: { shardId: 0 }, modRevision: 1 } : undefined),
			terminalRecord: () => undefined,
			knownIds: () => [],
		},
		cache: { revision: 7 },
		archive: {
			searchScope: () => ({ ownKeys: false, hasOmittedStates: false, archive: true }),
			fullReadRevision: () => 1,
			cached: () => undefined,
			provesAbsent: () => false,
			lookUp: () =>
				Effect.callback<ArchiveLookup>((resume) => {
					finishLookUp = (found) => resume(Effect.succeed(found))
				}),
		},
	}
	const jobLocator = new JobLocator(parts as unknown as Service, 1000)
	const service = { ...parts, jobLocator } as unknown as Service
	const records = new ServiceRecords(service, 10)
	const found = { ordinal: ordinalOf(archived), aborted: false, taskCount: 1, doneCount: 1, revision: 3 }
	const prepare = (whileLookingUp: () => void) =>
		new Promise<boolean>((done) => {
			records.prepare({ uids: [archived, inMemory] }, done)
			whileLookingUp()
			finishLookUp(found)
		})
	assert.equal(await prepare(() => known.delete(inMemory)), false)
	known.add(inMemory)
	assert.equal(await prepare(() => {}), true)
})

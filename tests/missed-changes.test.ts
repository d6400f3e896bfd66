/**
 * Jobs stayed open for ever at a controller that missed changes of the records.
 *
 * The state service keeps a bounded number of changes for watches. A controller that is partitioned from it for longer
 * reads all keys again. A job that it knew only from an accepted batch may be finished and archived by then and the batch
 * deleted, so that no remaining key names the job. The controller still considered it open: it reported a done job as
 * pending, streams never delivered its terminal state, and as the owner of its shard it would have started the job again.
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
/** The controller that is partitioned from the state service, and misses more changes than are kept for watches. */
const PARTITIONED_CONTROLLER = 2
const PARTITION = { atS: 6, forS: 200 }
const UNTIL_S = 330
const WATCH_LOG = 20
const SMALL_ARCHIVE = { archiveBatchSize: 4, writeRateShare: 0.5, pageCacheMb: 0.1 }

const early = Array.from({ length: 6 }, (_, index) => ({
	atS: 2 + index * 0.5,
	spec: arrayJob(`job-0009${String(index).padStart(2, '0')}`, { tasks: 2, expectedS: 20 }),
	...(index === 5 ? { cancelAtS: 20 } : {}),
}))
/** Jobs that keep the records changing during the partition, so that the early ones are archived. */
const later = Array.from({ length: 30 }, (_, index) => ({
	atS: 30 + index * 5,
	spec: arrayJob(`job-0019${String(index).padStart(2, '0')}`, { tasks: 1, expectedS: 2 }),
}))
const jobs = [...early, ...later]
const uids = jobs.map((job) => job.spec.uid)

const runDay = async (seed: number) => {
	const simulation = new Simulation({
		seed,
		untilS: UNTIL_S,
		jobs,
		faults: [
			{
				atS: PARTITION.atS,
				kind: 'cut',
				who: [PARTITIONED_CONTROLLER],
				from: ['state'],
				forS: PARTITION.forS,
			},
		],
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
			void simulation
				.sendRequest(PARTITIONED_CONTROLLER, 'GET', `/v2/runs/${uid}`, undefined)
				.then((response) => {
					statuses.set(uid, (response?.body as { status?: string } | undefined)?.status ?? response?.status)
				})
	})
	await simulation.run()
	return { simulation, readers, statuses }
}

test('a controller that missed too many changes knows that the jobs archived meanwhile are terminal', async () => {
	for (const seed of [91, 92, 93]) {
		const { simulation, readers, statuses } = await runDay(seed)
		assert.deepEqual(simulation.invariants.violations, [], `seed ${seed}`)
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], `seed ${seed}`)
		assert.ok(simulation.state.countKeys('heathroad-past/') > 0, 'states were archived')
		const open = uids.filter((uid) => !['done', 'aborted'].includes(String(statuses.get(uid))))
		assert.deepEqual(
			open.map((uid) => `${uid} ${statuses.get(uid)}`),
			[],
			`seed ${seed}: open at the partitioned controller`,
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
 * A stream of two jobs is prepared: the first is looked up in the archive while the second is in memory. The second leaves
 * memory during the lookup. A stream opened then would not find it, and never deliver its terminal state.
 */
test('a stream is not opened if a job leaves memory while others are looked up', async () => {
	const [archived, inMemory] = ['job-000901', 'job-000902']
	const known = new Set([inMemory])
	let finishLookup: (found: ArchiveLookup) => void = () => {}
	const dependencies = {
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
					finishLookup = (found) => resume(Effect.succeed(found))
				}),
		},
	}
	const jobLocator = new JobLocator(dependencies as unknown as Service, 1000)
	const service = { ...dependencies, jobLocator } as unknown as Service
	const records = new ServiceRecords(service, 10)
	const found = { ordinal: ordinalOf(archived), aborted: false, taskCount: 1, doneCount: 1, revision: 3 }
	const prepare = (duringLookup: () => void) =>
		new Promise<boolean>((done) => {
			records.prepare({ uids: [archived, inMemory] }, done)
			duringLookup()
			finishLookup(found)
		})
	assert.equal(await prepare(() => known.delete(inMemory)), false)
	known.add(inMemory)
	assert.equal(await prepare(() => {}), true)
})

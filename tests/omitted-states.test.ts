/**
 * Terminal events that were lost at a controller which restarted (incident 27).
 *
 * A full read leaves terminal states under jobs' own keys out of memory, as there may be hundreds of thousands of them.
 * The restarted controller then behaved as if it had all of them:
 *
 * - As long as no record of the format exists, it took every job that is not in memory for one that was never accepted,
 *   without a look-up. A stream by ids therefore began without the terminal state of a job that was cancelled before the
 *   restart, and ended as complete or never. In a failed run of the check of streams: `job/job-703008` final at revision
 *   22, `history` written at 77; a stream at a controller restarted before 77 began without the state of job-703008.
 * - The log of terminal states of a team began empty, but claimed to hold all there ever were. A reader by team that
 *   resumed there never heard of the jobs that ended since its cursor: in another run, cursor at revision 50, seven jobs
 *   final at 70, stream resumed at a controller restarted at 86, no event until the deadline.
 *
 * Archived states are missing in the same way. Here one controller of three stays down, so that the format is not
 * changed, while the two others crash in turn.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobEvent, Selection } from '@heathroad/events'
import { arrayJob, attachStreams, Simulation, StreamReader } from '@heathroad/testkit'

const CONTROLLERS = 3
/** Terminal states leave memory from this number on. */
const SMALL_ARCHIVE = { archiveBatchSize: 4, writeRateShare: 0.5, pageCacheMb: 0.1 }
const JOBS = 24
const UNTIL_S = 240

const jobs = Array.from({ length: JOBS }, (_, index) => ({
	atS: 1 + index * 4,
	spec: arrayJob(`job-0008${String(index).padStart(2, '0')}`, { tasks: 1 + (index % 3), expectedS: 3 }),
	...(index % 4 === 3 ? { cancelAtS: 3 + index * 4 } : {}),
}))
const uids = jobs.map((job) => job.spec.uid)

/** Two controllers crash in turn, well after the jobs of a while ago are over. */
const crashes = Array.from({ length: 10 }, (_, index) => ({
	atS: 30 + index * 12,
	kind: 'crash' as const,
	who: [index % 2],
	forS: 3,
}))

test('readers hear of every terminal state though the controllers that tell them were restarted after it', async () => {
	for (const seed of [81, 82, 83]) {
		const simulation = new Simulation({
			seed,
			untilS: UNTIL_S,
			jobs,
			faults: [{ atS: 0.6, kind: 'crash', who: [2], forS: UNTIL_S }, ...crashes],
		})
		const streams = attachStreams(simulation)
		const refused: string[] = []
		const startReader = (name: string, selection: Selection) => {
			const reader = { name, selection, terminalStates: new Map<string, string>() }
			new StreamReader(simulation, streams, CONTROLLERS, selection, {
				opened: () => {},
				rejected: (_controller, why) => refused.push(`${name}: ${why}`),
				received: (_controller, event: JobEvent) => {
					if (event.state === 'done' || event.state === 'cancelled')
						reader.terminalStates.set(event.uid, event.state)
				},
			})
			return reader
		}
		const readers: ReturnType<typeof startReader>[] = []
		for (const atS of [0, 40, 80, 120, 170])
			simulation.clock.after(atS * 1000, () => readers.push(startReader(`by ids, ${atS} s`, { uids })))
		for (let index = 0; index < 6; index++) readers.push(startReader(`by team ${index}`, { team: 'core' }))
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.deepEqual(simulation.invariants.unfinished(), [])
		assert.deepEqual(refused, [], `seed ${seed}`)
		assert.ok(simulation.state.count('heathroad/job/') > 0, 'terminal states stand under own keys')
		assert.equal(simulation.state.count('heathroad/history'), 0, 'the format was not changed')
		// A team's stream begins with what is open; the first job may be over before a reader began.
		for (const { name, selection, terminalStates } of readers)
			for (const uid of 'uids' in selection ? uids : uids.slice(1))
				assert.ok(terminalStates.has(uid), `seed ${seed}, ${name}: no terminal state of ${uid}`)
	}
})

test('a reader by team is told that it missed archived states, at a controller that restarted since, and only there', async () => {
	const simulation = new Simulation({
		seed: 84,
		untilS: UNTIL_S,
		jobs,
		faults: [{ atS: 200, kind: 'crash', who: [0], forS: 3 }],
		history: SMALL_ARCHIVE,
	})
	const streams = attachStreams(simulation)
	const selection = { team: 'core' }
	const outcomes: string[] = []
	const subscribe = (controller: number, cursor: string, done: (cursor: string, outcome: string) => void) => {
		const source = streams[controller]
		if (source === null || source.hub === null) return done('', 'not running')
		source.records.prepare(selection, (isComplete) => {
			if (!isComplete) return done('', 'unreadable')
			const subscription = source.hub?.subscribe(selection, cursor, {
				onEventsAvailable: () => {},
				onEnd: () => {},
			})
			if (subscription === undefined || typeof subscription === 'string')
				return done('', String(subscription))
			const heard = new Set<string>()
			for (let event = subscription.next(); event !== null; event = subscription.next())
				if (event.state === 'done' || event.state === 'cancelled') heard.add(event.uid)
			done(subscription.cursor(), `heard of ${heard.size}`)
			subscription.end(null)
		})
	}
	simulation.clock.after(5000, () =>
		subscribe(1, '', (oldCursor) => {
			simulation.clock.after(225_000, () => {
				subscribe(0, oldCursor, (_, outcome) => outcomes.push(`restarted: ${outcome}`))
				subscribe(1, oldCursor, (newCursor, outcome) => {
					outcomes.push(`never restarted: ${outcome}`)
					subscribe(0, newCursor, (__, later) => outcomes.push(`restarted, from the present: ${later}`))
				})
			})
		}),
	)
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinished(), [])
	assert.ok(simulation.state.count('heathroad-past/') > 0, 'states were archived')
	assert.deepEqual(outcomes.sort(), [
		`never restarted: heard of ${JOBS}`,
		'restarted, from the present: heard of 0',
		'restarted: out of range',
	])
})

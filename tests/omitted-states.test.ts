/**
 * Terminal events were lost at a restarted controller (incident 27).
 *
 * A full read does not load terminal states under jobs' own keys, as there may be hundreds of thousands of them. The
 * restarted controller then behaved as if it had loaded all of them:
 *
 * - Until a record of the format existed, it took every job that was not in memory for one that was never accepted,
 *   without a lookup. A stream by ids was therefore opened without the terminal state of a job cancelled before the
 *   restart, and ended as complete or never. In a failed run of the check of streams: `job/job-703008` final at revision
 *   22, `history` written at 77; a stream at a controller restarted before 77 was opened without the state of job-703008.
 * - A team's log of terminal states was empty after the restart, but claimed to be complete. A reader by team that resumed
 *   there never received the jobs that finished after its cursor: in another run, cursor at revision 50, seven jobs final
 *   at 70, stream resumed at a controller restarted at 86, no event until the deadline.
 *
 * Archived states are missing in the same way. Here one of three controllers stays down, so that the format does not
 * change, while the two others crash in turn.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobEvent, Selection } from '@heathroad/events'
import { arrayJob, attachStreams, Simulation, StreamReader } from '@heathroad/testkit'

const CONTROLLERS = 3
/** Limits so small that terminal states are archived, and leave memory, after a few jobs. */
const SMALL_ARCHIVE = { archiveBatchSize: 4, writeRateShare: 0.5, pageCacheMb: 0.1 }
const JOBS = 24
const UNTIL_S = 240

const jobs = Array.from({ length: JOBS }, (_, index) => ({
	atS: 1 + index * 4,
	spec: arrayJob(`job-0008${String(index).padStart(2, '0')}`, { tasks: 1 + (index % 3), expectedS: 3 }),
	...(index % 4 === 3 ? { cancelAtS: 3 + index * 4 } : {}),
}))
const uids = jobs.map((job) => job.spec.uid)

/** Two controllers crash in turn; earlier jobs are long finished by then. */
const crashes = Array.from({ length: 10 }, (_, index) => ({
	atS: 30 + index * 12,
	kind: 'crash' as const,
	who: [index % 2],
	forS: 3,
}))

test('readers receive every terminal state, also from controllers that restarted after it', async () => {
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
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [])
		assert.deepEqual(refused, [], `seed ${seed}`)
		assert.ok(simulation.state.countKeys('heathroad/job/') > 0, 'terminal states are under own keys')
		assert.equal(simulation.state.countKeys('heathroad/history'), 0, 'the format was not changed')
		// A team's stream starts with the open jobs; the first job may be finished before a reader starts.
		for (const { name, selection, terminalStates } of readers)
			for (const uid of 'uids' in selection ? uids : uids.slice(1))
				assert.ok(terminalStates.has(uid), `seed ${seed}, ${name}: no terminal state of ${uid}`)
	}
})

test('a reader by team learns that it missed archived states only at a controller that restarted since', async () => {
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
			const terminalUids = new Set<string>()
			for (let event = subscription.next(); event !== null; event = subscription.next())
				if (event.state === 'done' || event.state === 'cancelled') terminalUids.add(event.uid)
			done(subscription.cursor(), `received ${terminalUids.size}`)
			subscription.end(null)
		})
	}
	simulation.clock.after(5000, () =>
		subscribe(1, '', (oldCursor) => {
			simulation.clock.after(225_000, () => {
				subscribe(0, oldCursor, (_, outcome) => outcomes.push(`restarted: ${outcome}`))
				subscribe(1, oldCursor, (newCursor, outcome) => {
					outcomes.push(`never restarted: ${outcome}`)
					subscribe(0, newCursor, (__, later) => outcomes.push(`restarted, from the current state: ${later}`))
				})
			})
		}),
	)
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [])
	assert.ok(simulation.state.countKeys('heathroad-past/') > 0, 'states were archived')
	assert.deepEqual(outcomes.sort(), [
		`never restarted: received ${JOBS}`,
		'restarted, from the current state: received 0',
		'restarted: out of range',
	])
})

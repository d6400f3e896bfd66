/**
 * The property behind the check of streams, over many seeds in virtual time: every reader gets exactly one terminal event
 * of every job, or is told that there is a gap; and a stream by ids never ends as complete without an event for each id.
 *
 * Guards against the missed terminal events of incidents 27 and 30 wherever they come from: controllers crash every few
 * seconds, just after the records changed their format, while states are archived, and while readers begin and resume.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobEvent, Selection } from '@heathroad/events'
import { arrayJob, attachStreams, type Fault, Simulation, StreamReader } from '@heathroad/testkit'

const CONTROLLERS = 3
const SEEDS = Array.from({ length: 8 }, (_, index) => 401 + index)
const SMALL_ARCHIVE = { archiveBatchSize: 4, writeRateShare: 0.5, pageCacheMb: 0.1 }
const JOBS = 24
/** When crashes begin and end, and their mean distance, in seconds. */
const CRASHES = { from: 5, until: 80, everyS: 4 }
const UNTIL_S = 160
/** When readers by ids begin, in seconds; the last one after all crashes. */
const READERS_FROM_S = [0, 15, 35, 55, 110]
const TEAM_READERS = 4

const jobs = Array.from({ length: JOBS }, (_, index) => ({
	atS: 1 + index * 2.5,
	spec: arrayJob(`job-0029${String(index).padStart(2, '0')}`, { tasks: 1 + (index % 3), expectedS: 2 }),
	...(index % 5 === 4 ? { cancelAtS: 2 + index * 2.5 } : {}),
}))
const uids = jobs.map((job) => job.spec.uid)

/** One controller is down at first: until all are up the records keep their first format. In seconds. */
const FIRST_FORMAT = { from: 0.6, forS: 50 }

/** Crashes at moments that follow from the seed alone. */
const crashesOf = (seed: number): Fault[] => {
	const downAtFirst = seed % CONTROLLERS
	const faults: Fault[] = [
		{ atS: FIRST_FORMAT.from, kind: 'crash', who: [downAtFirst], forS: FIRST_FORMAT.forS },
	]
	for (let atS = CRASHES.from, index = seed; atS < CRASHES.until; index++) {
		const controller = index % CONTROLLERS
		const isDown = controller === downAtFirst && atS < FIRST_FORMAT.from + FIRST_FORMAT.forS
		if (!isDown) faults.push({ atS, kind: 'crash', who: [controller], forS: 0.5 + (index % 4) / 2 })
		atS += CRASHES.everyS * (0.5 + ((index * 7) % 10) / 10)
	}
	return faults
}

class Reader {
	readonly terminalEvents = new Map<string, number>()
	/** it was told that it cannot resume, and has to begin anew */
	hasGap = false
	readonly wrong: string[] = []

	constructor(
		readonly name: string,
		readonly selection: Selection,
	) {}

	observe({ uid, state }: JobEvent): void {
		if (state !== 'done' && state !== 'cancelled') return
		this.terminalEvents.set(uid, (this.terminalEvents.get(uid) ?? 0) + 1)
	}

	onComplete(): void {
		const missing = uids.filter((uid) => !this.terminalEvents.has(uid))
		if (missing.length > 0) this.wrong.push(`${this.name}: complete without ${missing.join(' ')}`)
	}

	/** What is wrong at the end; a team's stream begins with what is open, so the first job may be over before it. */
	findings(): string[] {
		if (this.hasGap) return this.wrong
		const expected = 'uids' in this.selection ? uids : uids.slice(1)
		const counts = expected.map((uid) => ({ uid, count: this.terminalEvents.get(uid) ?? 0 }))
		const unexpected = counts.filter(({ count }) => count !== 1)
		return [...this.wrong, ...unexpected.map(({ uid, count }) => `${this.name}: ${count} events of ${uid}`)]
	}
}

test('every reader gets one terminal event of each job or is told of a gap, whenever controllers crash', async () => {
	let crashes = 0
	for (const seed of SEEDS) {
		const faults = crashesOf(seed)
		crashes += faults.length
		const simulation = new Simulation({ seed, untilS: UNTIL_S, jobs, faults, history: SMALL_ARCHIVE })
		const streams = attachStreams(simulation)
		const readers: Reader[] = []
		const start = (reader: Reader) => {
			readers.push(reader)
			new StreamReader(simulation, streams, CONTROLLERS, reader.selection, {
				opened: () => {},
				rejected: () => {
					reader.hasGap = true
				},
				received: (_controller, event) => reader.observe(event),
				completed: () => reader.onComplete(),
			})
		}
		for (const fromS of READERS_FROM_S)
			simulation.clock.after(fromS * 1000, () => start(new Reader(`by ids from ${fromS} s`, { uids })))
		for (let index = 0; index < TEAM_READERS; index++) start(new Reader(`by team ${index}`, { team: 'core' }))
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [], `seed ${seed}`)
		assert.deepEqual(simulation.invariants.unfinished(), [], `seed ${seed}`)
		assert.deepEqual(
			readers.flatMap((reader) => reader.findings()),
			[],
			`seed ${seed}`,
		)
		const refusedById = readers.filter(({ hasGap, selection }) => hasGap && 'uids' in selection)
		assert.deepEqual(refusedById, [], 'a reader by ids can always resume')
	}
	assert.ok(crashes > SEEDS.length * 10, `${crashes} crashes`)
})

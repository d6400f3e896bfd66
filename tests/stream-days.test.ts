import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobEvent, Selection } from '@heathroad/events'
import { arrayJob, type Fault, Simulation, StreamReader, streamsOf } from '@heathroad/testkit'

const CONTROLLERS = 3

test('fifty streams over days of crashes, outages and cuts: what they tell keeps the rules', async () => {
	const days: { name: string; faults: Fault[]; seed: number }[] = [
		{
			name: 'one, two and all controllers crash',
			seed: 51,
			faults: [
				{ atS: 22, kind: 'crash', who: [0] },
				{ atS: 45, kind: 'crash', who: [1, 2] },
				{ atS: 70, kind: 'crash', who: [0, 1, 2] },
			],
		},
		{
			name: 'the state is down, a controller is cut from it, another stands still',
			seed: 52,
			faults: [
				{ atS: 25, kind: 'stateDown', forS: 12 },
				{ atS: 55, kind: 'cut', who: [1], from: 'state', forS: 20 },
				{ atS: 85, kind: 'freeze', who: [2], forS: 12 },
				{ atS: 100, kind: 'crash', who: [0] },
			],
		},
	]
	for (const { name, faults, seed } of days) {
		const jobs = Array.from({ length: 24 }, (_, i) => ({
			atS: 1 + i * 4,
			spec: arrayJob(`job-0007${String(i).padStart(2, '0')}`, { tasks: 3 + (i % 9), expectedS: 6 }),
			...(i % 8 === 7 ? { cancelAtS: 12 + i * 4 } : {}),
		}))
		const simulation = new Simulation({ seed, untilS: 300, jobs, faults, loss: 0.01 })
		const streams = streamsOf(simulation)
		const wrong: string[] = []
		const uids = jobs.map((j) => j.spec.uid)
		let reconnects = 0
		const readers = Array.from({ length: 50 }, (_, n) => {
			const selection: Selection = n % 2 === 0 ? { team: 'core' } : { uids }
			const finals = new Map<string, string>()
			const done = new Map<string, number>()
			const hear = (e: JobEvent) => {
				const known = simulation.invariants.observedState(e.uid)
				const status = e.state === 'cancelled' ? 'aborted' : e.state
				if (finals.has(e.uid)) wrong.push(`${n}: ${e.uid} told ${e.state} after ${finals.get(e.uid)}`)
				if (e.done < (done.get(e.uid) ?? 0)) wrong.push(`${n}: ${e.uid} went back to ${e.done}`)
				done.set(e.uid, e.done)
				if (status === 'done' || status === 'aborted') {
					finals.set(e.uid, e.state)
					// A state that is not final may be told a moment after another user heard the end; a final one never differs.
					simulation.invariants.observeStatus(e.uid, 200, status, known)
				}
			}
			new StreamReader(simulation, streams, CONTROLLERS, selection, {
				begun: () => reconnects++,
				refused: (_controller, why) => wrong.push(`${n}: ${why}`),
				heard: (_controller, e) => hear(e),
			})
			return { n, finals, selection }
		})
		await simulation.play()
		assert.deepEqual(simulation.invariants.violations, [], name)
		assert.deepEqual(simulation.invariants.unfinished(), [], name)
		assert.deepEqual(wrong.slice(0, 5), [], name)
		assert.ok(reconnects > 500, `${reconnects} streams`)
		// A team's stream begins with what is not over; the first job may have ended before a reader began.
		for (const { n, finals, selection } of readers)
			for (const uid of uids)
				if ('uids' in selection || uid !== uids[0])
					assert.ok(finals.has(uid), `${name}: ${n} never heard of ${uid}`)
	}
})

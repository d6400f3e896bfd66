import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobEvent, Selection } from '@heathroad/events'
import { arrayJob, attachStreams, type Fault, Simulation, StreamReader } from '@heathroad/testkit'

const CONTROLLERS = 3
const READERS = 50

test('fifty streams during crashes, outages and partitions deliver each terminal state once, and no state goes back', async () => {
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
			name: 'the state service is down, a controller is partitioned from it, another is frozen',
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
		const jobs = Array.from({ length: 24 }, (_, index) => ({
			atS: 1 + index * 4,
			spec: arrayJob(`job-0007${String(index).padStart(2, '0')}`, { tasks: 3 + (index % 9), expectedS: 6 }),
			...(index % 8 === 7 ? { cancelAtS: 12 + index * 4 } : {}),
		}))
		const simulation = new Simulation({ seed, untilS: 300, jobs, faults, loss: 0.01 })
		const streams = attachStreams(simulation)
		const anomalies: string[] = []
		const uids = jobs.map((job) => job.spec.uid)
		let reconnects = 0
		const readers = Array.from({ length: READERS }, (_, reader) => {
			const selection: Selection = reader % 2 === 0 ? { team: 'core' } : { uids }
			const terminalStates = new Map<string, string>()
			const doneCounts = new Map<string, number>()
			const observe = (event: JobEvent) => {
				const known = simulation.invariants.observedState(event.uid)
				const status = event.state === 'cancelled' ? 'aborted' : event.state
				if (terminalStates.has(event.uid))
					anomalies.push(
						`${reader}: ${event.uid} delivered as ${event.state} after ${terminalStates.get(event.uid)}`,
					)
				if (event.done < (doneCounts.get(event.uid) ?? 0))
					anomalies.push(`${reader}: ${event.uid} went back to ${event.done}`)
				doneCounts.set(event.uid, event.done)
				if (status === 'done' || status === 'aborted') {
					terminalStates.set(event.uid, event.state)
					// Open states may arrive shortly after another user observed the end; terminal ones never differ.
					simulation.invariants.observeStatus(event.uid, 200, status, known)
				}
			}
			new StreamReader(simulation, streams, CONTROLLERS, selection, {
				opened: () => reconnects++,
				rejected: (_controller, why) => anomalies.push(`${reader}: ${why}`),
				received: (_controller, event) => observe(event),
			})
			return { reader, terminalStates, selection }
		})
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [], name)
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], name)
		assert.deepEqual(anomalies.slice(0, 5), [], name)
		assert.ok(reconnects > 500, `${reconnects} streams`)
		// A team's stream starts with the open jobs; the first job may have finished before a reader started.
		for (const { reader, terminalStates, selection } of readers)
			for (const uid of uids)
				if ('uids' in selection || uid !== uids[0])
					assert.ok(terminalStates.has(uid), `${name}: reader ${reader} received no terminal event of ${uid}`)
	}
})

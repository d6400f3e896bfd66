/**
 * The check of streams in virtual time: each seed gives a fixed sequence of disconnects, lost responses and crashes.
 * Guards against missed terminal events, reproducibly. On 409dda2 readers by ids missed events on seeds 3, 8, 14, 24
 * and 47 (all but the many of seed 3 for cancelled jobs, incident 27); on d0cc255 the reader by team on seeds 75 and 81
 * (incident 36). On seed 441 a job does not finish within its minute (incident 28, KNOWN-RED.txt).
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JOBS, MAX_COMPLETION_MS, runStreamCheckDay } from './stream-check-days.js'

const SEEDS = [3, 8, 14, 24, 47, 75, 81, 441]
const READERS = 6

for (const seed of SEEDS)
	test(`in virtual time, with streams cut, controllers crashed and answers lost, each job has one terminal event: seed ${seed}`, async () => {
		const { simulation, readers, findings, completedAfterMs } = await runStreamCheckDay(seed)
		assert.deepEqual(findings, [])
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [])
		assert.deepEqual(
			readers.map(({ terminalStates: terminal }) => terminal.size >= JOBS),
			Array.from({ length: READERS }, () => true),
		)
		assert.ok(completedAfterMs <= MAX_COMPLETION_MS, `took ${completedAfterMs} ms`)
	})

/**
 * Small jobs must finish although a controller crashes about once a second (incident 28). Each owner of a shard lasted a
 * second or two, and none of the shard's idle machines reached an owner in that time. The job then migrated to a shard whose
 * machines were being released, which had to rent one and boot it under owners that crashed as soon.
 *
 * On seed 49 a job of a third of a second, accepted at 12.6 s, migrated at 17.0 s from shard 0, whose machines were up,
 * to shard 1, whose three machines were released from 16.0 s on, and had not run at 75 s.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CRASH_DAY, crashDay } from './crash-days.js'

const SEEDS = [39, 49, 166]
/** Longest time from a job's acceptance to its terminal state, in ms; the check of streams allows as much. */
const MAX_MS = 60_000

/** Returns when controllers first logged the event for each job, in ms. */
const firstLoggedMs = (log: readonly string[], event: string): Map<string, number> => {
	const loggedMs = new Map<string, number>()
	for (const line of log) {
		const [, atMs, uid] = new RegExp(`^(\\d+) ctl-\\d ${event} .*"uid":"(job-\\d+)"`).exec(line) ?? []
		if (uid !== undefined && !loggedMs.has(uid)) loggedMs.set(uid, Number(atMs))
	}
	return loggedMs
}

test('small jobs finish within a minute while controllers crash each second', async () => {
	const late: string[] = []
	for (const seed of SEEDS) {
		const simulation = crashDay(seed)
		const log: string[] = []
		simulation.onLogLine = (line) => log.push(line)
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [], `seed ${seed}`)
		const finished = firstLoggedMs(log, 'job terminal')
		const accepted = firstLoggedMs(log, 'job accepted')
		assert.ok(accepted.size >= CRASH_DAY.jobs - CRASH_DAY.controllers, `seed ${seed}: ${accepted.size} jobs`)
		for (const [uid, acceptedAt] of accepted) {
			const tookMs = (finished.get(uid) ?? Number.POSITIVE_INFINITY) - acceptedAt
			if (tookMs > MAX_MS) late.push(`seed ${seed}: ${uid} took ${tookMs} ms`)
		}
	}
	assert.deepEqual(late, [])
})

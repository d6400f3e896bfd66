/**
 * Small jobs while a controller crashes about each second (incident 28). Owners of a shard live for a second or two; its
 * machines are up and empty, but none reached an owner while it lived. The job then migrated to a shard whose machines were
 * being returned, which had to rent one and boot it under owners as short-lived.
 *
 * On seed 49 a job of a third of a second, accepted at 12.6 s, migrated at 17.0 s from shard 0, whose machines were up,
 * to shard 1, whose three machines were returned from 16.0 s on, and had not run at 75 s.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CRASH_DAY, crashDay } from './crash-days.js'

const SEEDS = [39, 49, 166]
/** Every job has to be over so long after its acceptance, in ms: the time that the check of streams allows. */
const MAX_MS = 60_000

/** Moments at which controllers logged an event of a job, in ms, the first of each job. */
const momentsOf = (log: readonly string[], event: string): Map<string, number> => {
	const moments = new Map<string, number>()
	for (const line of log) {
		const [, atMs, uid] = new RegExp(`^(\\d+) ctl-\\d ${event} .*"uid":"(job-\\d+)"`).exec(line) ?? []
		if (uid !== undefined && !moments.has(uid)) moments.set(uid, Number(atMs))
	}
	return moments
}

test('small jobs are over within a minute while controllers crash each second', async () => {
	const late: string[] = []
	for (const seed of SEEDS) {
		const simulation = crashDay(seed)
		const log: string[] = []
		simulation.onLogLine = (line) => log.push(line)
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [], `seed ${seed}`)
		const ended = momentsOf(log, 'job terminal')
		const accepted = momentsOf(log, 'job accepted')
		assert.ok(accepted.size >= CRASH_DAY.jobs - CRASH_DAY.controllers, `seed ${seed}: ${accepted.size} jobs`)
		for (const [uid, acceptedAt] of accepted) {
			const tookMs = (ended.get(uid) ?? Number.POSITIVE_INFINITY) - acceptedAt
			if (tookMs > MAX_MS) late.push(`seed ${seed}: ${uid} took ${tookMs} ms`)
		}
	}
	assert.deepEqual(late, [])
})

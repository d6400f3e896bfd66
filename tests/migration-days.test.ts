/**
 * Finished jobs must stay known while the record format changes (`npm run hunt:days -- --kind migration`): terminal states
 * move from jobs' own keys to pages, and on to the archive, while controllers crash and users query any controller.
 *
 * A query was answered with 404 (rule `forgotten`) if the state moved to a page after the lookup in memory, which did not
 * have it yet, and before the read of the own key, which no longer had it. This happened on 41 of the seeds 1 to 60.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkRandomDay } from '@heathroad/testkit'

/** Seeds on which a query for a finished job was answered with 404. */
const FAILED_SEEDS = [3, 8, 11, 16, 31, 57]
/** Seeds on which nothing was wrong. */
const PASSED_SEEDS = [1, 4]

const KIND = 'migration'
const EVENTS = ['record format upgraded', 'record migration completed']

for (const seed of [...FAILED_SEEDS, ...PASSED_SEEDS])
	test(`finished jobs stay known while their states move to pages, seed ${seed}`, async () => {
		const { violations, unfinished, eventCounts } = await checkRandomDay(seed, EVENTS, KIND)
		assert.deepEqual(violations, [])
		assert.deepEqual(unfinished, [])
		for (const event of EVENTS) assert.ok(eventCounts[event] > 0, event)
	})

/**
 * Days on which the record format changes late (`npm run hunt:days -- --kind migration`): terminal states move from jobs'
 * own keys to pages, and on to the archive, while controllers crash and users ask about finished jobs at any controller.
 *
 * A question that falls between the look at memory, where the state is not yet, and the read of the own key, where it is
 * no longer, was answered with 404 (rule `forgotten`): on 41 of the days 1 to 60.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkRandomDay } from '@heathroad/testkit'

/** Days on which a finished job was answered with 404. */
const FORGETTING_SEEDS = [3, 8, 11, 16, 31, 57]
/** Days on which nothing was wrong. */
const SOUND_SEEDS = [1, 4]

const KIND = 'migration'
const EVENTS = ['record format upgraded', 'record migration completed']

for (const seed of [...FORGETTING_SEEDS, ...SOUND_SEEDS])
	test(`finished jobs stay known while their states move to pages, seed ${seed}`, async () => {
		const { violations, unfinished, eventCounts } = await checkRandomDay(seed, EVENTS, KIND)
		assert.deepEqual(violations, [])
		assert.deepEqual(unfinished, [])
		for (const event of EVENTS) assert.ok(eventCounts[event] > 0, event)
	})

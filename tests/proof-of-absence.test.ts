/**
 * Jobs that were finished and yet answered as unknown, because their terminal states moved while they were looked for.
 *
 * A terminal state may be in memory (on a page, or under a key of its own), under its own key in the store only (of the
 * first record format, which full reads leave out of memory), or in a level of the archive. The migration of the first
 * format moves states from their own keys to pages, which are in memory: against the order in which a question looks for
 * them. A controller that looked at memory before the move and at the own key after it found the state in neither, and
 * took that for a proof that the job never was.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FINISHED, MovingWorld, ORDERS } from './absence-orders.js'
import { crashDay } from './crash-days.js'

/**
 * On seed 2025, job-302508 is done at 5.5 s. At 71.46 s a user asks a controller that has restarted since and left the
 * state out. In memory at revision 157 there is none; the read of the own key, at revision 158, meets the move to a page.
 */
test('a day of crashes and a migration on which a job is asked for while its state moves', async () => {
	const simulation = crashDay(2025)
	await simulation.play()
	assert.deepEqual(simulation.invariants.violations, [])
})

const STATUS_PATH = `/v2/runs/${FINISHED}`
/** A user who gets one of these knows the truth, or asks again. */
const TRUE_ANSWERS = ['200 done', '503']
/** When a question has long been answered and all changes are known, in ms after it. */
const SETTLED_MS = 3000

for (const order of ORDERS)
	test(`a finished job is not answered as unknown: ${order.name}`, async () => {
		const world = new MovingWorld(order)
		const later: string[] = []
		await world.play(() => {
			world.request('GET', STATUS_PATH, undefined, (answer) => world.answers.push(answer))
			world.simulation.clock.after(SETTLED_MS, () =>
				world.request('GET', STATUS_PATH, undefined, (answer) => later.push(answer)),
			)
		})
		assert.ok(world.isPlayed, 'the order was played')
		assert.deepEqual(later, ['200 done'], 'once nothing moves')
		assert.equal(world.answers.length, 1)
		assert.ok(TRUE_ANSWERS.includes(world.answers[0]), world.answers[0])
	})

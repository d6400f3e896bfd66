import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkStreams } from '@heathroad/testkit'

test('over real sockets, streams killed, controllers crashed and answers lost: one final answer of each job', async () => {
	const proven = await checkStreams({ seed: 3, jobs: 30, forS: 60, everyMs: 250 })
	const { missing, repeated, wentBack, strange, refused, broken, gaps } = proven
	assert.deepEqual(
		{ missing, repeated, wentBack, strange, refused, broken, gaps },
		{
			missing: [],
			repeated: [],
			wentBack: [],
			strange: [],
			refused: [],
			broken: [],
			gaps: 0,
		},
	)
	assert.ok(proven.cuts >= 5 && proven.crashes >= 1, JSON.stringify(proven))
	assert.ok(proven.events >= proven.jobs * proven.readers)
})

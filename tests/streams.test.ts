import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkStreams } from '@heathroad/testkit'

test('over real sockets, with streams cut, controllers crashed and answers lost, each job has one terminal event', async () => {
	const report = await checkStreams({ seed: 3, jobs: 30, forS: 60, everyMs: 250 })
	const { missing, repeated, reverted, unexpected, failedSubmissions, violations, gaps } = report
	assert.deepEqual(
		{ missing, repeated, reverted, unexpected, failedSubmissions, violations, gaps },
		{
			missing: [],
			repeated: [],
			reverted: [],
			unexpected: [],
			failedSubmissions: [],
			violations: [],
			gaps: 0,
		},
	)
	assert.ok(report.cuts >= 5 && report.crashes >= 1, JSON.stringify(report))
	assert.ok(report.events >= report.jobs * report.readers)
})

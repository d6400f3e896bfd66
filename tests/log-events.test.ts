/** Checks that the documented log events match those in the code. */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { LOG_EVENTS } from '@heathroad/logging'

test('docs/operating/logs.md lists every log event with its level, meaning and action', () => {
	const page = readFileSync('docs/operating/logs.md', 'utf8')
	const rows = [...page.matchAll(/^\| `([^`]+)` \| (\w+) \| (.+?) \| (.+?) \| .+ \|$/gm)]
	const listed = rows.map(([, name, level, meaning, action]) => [name, { level, meaning, action }])
	assert.deepEqual(Object.fromEntries(listed), LOG_EVENTS)
	assert.equal(rows.length, Object.keys(LOG_EVENTS).length, 'no event is listed twice')
})

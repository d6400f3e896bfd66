import assert from 'node:assert/strict'
import { test } from 'node:test'
import { judge, readKnownRed } from '../scripts/known-red.mjs'

test('a list of tests that are known to fail', () => {
	const line = (n: number) => `test ${n} | npm test, seed ${n} | what was seen of ${n} | 21`
	const otherFailure = 'test 1 | npm test, seed 1 | something else was seen | 22'
	const cases: [name: string, text: string, known: string[], wrong: number][] = [
		['no file', '', [], 0],
		['empty lines and remarks', '\n# nothing\n\n', [], 0],
		['one', line(1), ['test 1'], 0],
		['three', [1, 2, 3].map(line).join('\n'), ['test 1', 'test 2', 'test 3'], 0],
		['a fourth', [1, 2, 3, 4].map(line).join('\n'), ['test 1', 'test 2', 'test 3', 'test 4'], 1],
		['no issue', 'test 1 | npm test, seed 1 | what was seen', [], 1],
		['no command and seed', 'test 1 | what was seen | 21', [], 1],
		['a field too many', `${line(1)} | more`, [], 1],
		['an empty sight', 'test 1 | npm test, seed 1 | | 21', [], 1],
		['twice the same', `${line(1)}\n${line(1)}`, ['test 1', 'test 1'], 1],
		['two failures of one test', `${line(1)}\n${otherFailure}`, ['test 1', 'test 1'], 0],
		[
			'two failures of one test, and two more',
			[otherFailure, ...[1, 2, 3].map(line)].join('\n'),
			['test 1', 'test 1', 'test 2', 'test 3'],
			1,
		],
	]
	for (const [name, text, known, wrong] of cases) {
		const read = readKnownRed(text)
		assert.deepEqual(
			read.known.map((k) => k.test),
			known,
			name,
		)
		assert.equal(read.wrong.length, wrong, name)
	}
})

test('what a run comes to, some tests being known to fail', () => {
	const { known } = readKnownRed('red | npm test, seed 3 | what was seen | 21')
	const cases: [name: string, red: boolean | null, other: boolean, ok: boolean, said: RegExp[]][] = [
		['as known', false, true, true, [/red: failed .*npm test, seed 3; what was seen; issue 21/]],
		['it passes by now', true, true, true, [/red: passes now/]],
		['another fails', false, false, false, [/red: failed/, /^failed: other$/]],
		['there is no such test', null, true, false, [/red: is no test/]],
	]
	for (const [name, red, other, ok, said] of cases) {
		const results = [{ name: 'other', ok: other }, ...(red === null ? [] : [{ name: 'red', ok: red }])]
		const run = judge(known, results)
		assert.equal(run.ok, ok, name)
		assert.equal(run.lines.length, said.length, name)
		for (const [i, what] of said.entries()) assert.match(run.lines[i], what, name)
	}
	assert.equal(judge([], [{ name: 'other', ok: false }]).ok, false, 'nothing is known to fail')

	const twoFailures = 'red | npm test, seed 3 | the first | 21\nred | npm test, seed 3 | the second | 22'
	const { ok, lines } = judge(readKnownRed(twoFailures).known, [{ name: 'red', ok: false }])
	assert.equal(ok, true, 'each of the failures of one test is printed')
	assert.deepEqual(lines, [
		'known red: red: failed (npm test, seed 3; the first; issue 21)',
		'known red: red: failed (npm test, seed 3; the second; issue 22)',
	])
})

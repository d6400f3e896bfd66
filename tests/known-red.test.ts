/** The list of tests that are known to fail (KNOWN-RED.txt), and the result of a run with such tests. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { judge, readKnownRed } from '../scripts/known-red.mjs'

test('which lists of tests that are known to fail are valid', () => {
	const line = (number: number) =>
		`test ${number} | npm test, seed ${number} | what was seen of ${number} | 21`
	const otherFailure = 'test 1 | npm test, seed 1 | something else was seen | 22'
	const cases: [name: string, text: string, known: string[], wrong: number][] = [
		['no file', '', [], 0],
		['empty lines and comments', '\n# nothing\n\n', [], 0],
		['one', line(1), ['test 1'], 0],
		['three', [1, 2, 3].map(line).join('\n'), ['test 1', 'test 2', 'test 3'], 0],
		['four', [1, 2, 3, 4].map(line).join('\n'), ['test 1', 'test 2', 'test 3', 'test 4'], 1],
		['no issue', 'test 1 | npm test, seed 1 | what was seen', [], 1],
		['no command and seed', 'test 1 | what was seen | 21', [], 1],
		['one field too many', `${line(1)} | more`, [], 1],
		['an empty description of the failure', 'test 1 | npm test, seed 1 | | 21', [], 1],
		['the same entry twice', `${line(1)}\n${line(1)}`, ['test 1', 'test 1'], 1],
		['two failures of one test', `${line(1)}\n${otherFailure}`, ['test 1', 'test 1'], 0],
		[
			'two failures of one test, and two more tests',
			[otherFailure, ...[1, 2, 3].map(line)].join('\n'),
			['test 1', 'test 1', 'test 2', 'test 3'],
			1,
		],
	]
	for (const [name, text, known, wrong] of cases) {
		const read = readKnownRed(text)
		assert.deepEqual(
			read.known.map((entry) => entry.test),
			known,
			name,
		)
		assert.equal(read.wrong.length, wrong, name)
	}
})

test('the result of a run with tests that are known to fail', () => {
	const { known } = readKnownRed('red | npm test, seed 3 | what was seen | 21')
	const cases: [
		name: string,
		knownRedOk: boolean | null,
		otherOk: boolean,
		ok: boolean,
		expectedLines: RegExp[],
	][] = [
		['a known failure', false, true, true, [/red: failed .*npm test, seed 3; what was seen; issue 21/]],
		['a test known to fail passes', true, true, true, [/red: passes now/]],
		['another test fails', false, false, false, [/red: failed/, /^failed: other$/]],
		['a known test is missing from the results', null, true, false, [/red: is no test/]],
	]
	for (const [name, knownRedOk, otherOk, ok, expectedLines] of cases) {
		const results = [
			{ name: 'other', ok: otherOk },
			...(knownRedOk === null ? [] : [{ name: 'red', ok: knownRedOk }]),
		]
		const run = judge(known, results)
		assert.equal(run.ok, ok, name)
		assert.equal(run.lines.length, expectedLines.length, name)
		for (const [index, pattern] of expectedLines.entries()) assert.match(run.lines[index], pattern, name)
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

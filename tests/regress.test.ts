/** Comparison of a site's scores with its recorded score. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { compareScores, readEntry } from '../scripts/compare-scores.mjs'

test('what counts as a regression', () => {
	const day = (name: string, score: number, rules = {}) => ({ name, score, rules })
	const entry = (days: unknown[], score: number, more = {}) =>
		readEntry({ cmd: 'score', ok: true, site: 's', score, days, ...more })
	const cases: [
		name: string,
		recorded: number | null,
		scored: ReturnType<typeof readEntry>,
		wrong: string[],
	][] = [
		['unchanged', 0.7, entry([day('a', 0.7)], 0.7), []],
		['a fall within the noise', 0.7, entry([day('a', 0.67)], 0.67), []],
		['a fall beyond the noise', 0.7, entry([day('a', 0.66)], 0.66), ['fell by 0.040, more than 0.03']],
		['a rise', 0.7, entry([day('a', 0.9)], 0.9), []],
		['a site without a record', null, entry([day('a', 0.2)], 0.2), []],
		[
			'a broken rule, whatever the score',
			0.1,
			entry([day('a', 0.7), day('b', 0, { ran_twice: 2 })], 0.5),
			['rule broken: ran_twice on b (2)', 'the day b counts for nothing'],
		],
		['a run that did not finish', 0.7, entry([], 0, { ok: false }), ['was not scored']],
		['a journal entry of another command', 0.7, entry([], 0, { cmd: 'hunt' }), ['was not scored']],
	]
	for (const [name, recorded, scored, wrong] of cases) {
		const table: Record<string, number> = recorded === null ? {} : { s: recorded }
		const [line] = compareScores(table, scored === null ? [] : [scored], ['s'])
		assert.deepEqual(line.wrong, wrong, name)
	}
})

/** So many tests may be known to fail at the most. */
const MAX_KNOWN = 3

/**
 * @typedef {{ test: string, cause: string, issue: string }} KnownRed a test that is known to fail
 * @typedef {{ name: string, ok: boolean }} TestResult
 */

/**
 * Reads the list of tests that are known to fail: a line each, `test | cause | issue`. Empty lines and those that begin
 * with # are ignored.
 * @param {string} text
 * @returns {{ known: KnownRed[], wrong: string[] }} the list, and what is wrong with it
 */
export const readKnownRed = (text) => {
	/** @type {KnownRed[]} */
	const known = []
	const wrong = []
	for (const line of text.split('\n')) {
		if (line.trim() === '' || line.startsWith('#')) continue
		const fields = line.split('|').map((field) => field.trim())
		const [test, cause, issue] = fields
		if (fields.length !== 3 || fields.includes('')) wrong.push(`cannot be read: ${line}`)
		else known.push({ test, cause, issue })
	}
	if (known.length > MAX_KNOWN) wrong.push(`${known.length} lines, ${MAX_KNOWN} at most`)
	const tests = known.map(({ test }) => test)
	const duplicate = tests.find((test, index) => tests.indexOf(test) < index)
	if (duplicate !== undefined) wrong.push(`named twice: ${duplicate}`)
	return { known, wrong }
}

/**
 * Judges a run. A test that failed and is not known, and a known one that nobody ran, fail the run.
 * @param {readonly KnownRed[]} known
 * @param {readonly TestResult[]} results
 * @returns {{ ok: boolean, lines: string[] }} `lines`: what to print
 */
export const judge = (known, results) => {
	const lines = []
	let ok = true
	for (const { test, cause, issue } of known) {
		const runs = results.filter((result) => result.name === test)
		if (runs.length === 0) ok = false
		lines.push(`known red: ${test}: ${outcomeText(runs)} (${cause}; issue ${issue})`)
	}
	for (const { name, ok: passed } of results) {
		if (passed || known.some((entry) => entry.test === name)) continue
		ok = false
		lines.push(`failed: ${name}`)
	}
	return { ok, lines }
}

/**
 * @param {readonly TestResult[]} runs the runs of a known test
 */
const outcomeText = (runs) => {
	if (runs.length === 0) return 'is no test'
	return runs.every((run) => run.ok) ? 'passes now' : 'failed'
}

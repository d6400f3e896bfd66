/** More tests than this may not be known to fail at one time. */
const MOST = 3

/**
 * @typedef {{ test: string, cause: string, issue: string }} KnownRed
 */

/**
 * Tests that are known to fail for a fault that is yet to be mended: a line each, `test | cause | issue`. Empty lines and
 * those that begin with # say nothing.
 * @param {string} text
 * @returns {{ known: KnownRed[], wrong: string[] }}
 */
export const readKnownRed = (text) => {
	const known = []
	const wrong = []
	for (const line of text.split('\n')) {
		if (line.trim() === '' || line.startsWith('#')) continue
		const fields = line.split('|').map((f) => f.trim())
		if (fields.length !== 3 || fields.some((f) => f === '')) wrong.push(`cannot be read: ${line}`)
		else known.push({ test: fields[0], cause: fields[1], issue: fields[2] })
	}
	if (known.length > MOST) wrong.push(`${known.length} lines, ${MOST} at most`)
	const twice = known.find((k, i) => known.findIndex((o) => o.test === k.test) < i)
	if (twice !== undefined) wrong.push(`named twice: ${twice.test}`)
	return { known, wrong }
}

/**
 * What a run comes to. A test that failed and is not known, and a known one that nobody ran, fail the run.
 * @param {readonly KnownRed[]} known
 * @param {readonly { name: string, ok: boolean }[]} results
 * @returns {{ ok: boolean, lines: string[] }}
 */
export const judge = (known, results) => {
	const lines = []
	let ok = true
	for (const { test, cause, issue } of known) {
		const runs = results.filter((r) => r.name === test)
		if (runs.length === 0) ok = false
		const how = runs.length === 0 ? 'is no test' : runs.every((r) => r.ok) ? 'passes now' : 'failed'
		lines.push(`known red: ${test}: ${how} (${cause}; issue ${issue})`)
	}
	for (const r of results)
		if (!r.ok && !known.some((k) => k.test === r.name)) {
			ok = false
			lines.push(`failed: ${r.name}`)
		}
	return { ok, lines }
}

/** Largest decrease of a score that is not a regression: the users consider smaller differences noise. */
export const ALLOWED_FALL = 0.03
/** Tolerance for rounding errors. */
const EPSILON = 1e-9

/**
 * @typedef {{ site: string, score: number, rules: string[], failed: string[] }} Scored
 * result of scoring one site; `rules`: broken rules, `failed`: names of days with a score of 0
 * @typedef {{ site: string, score: number, recorded: number | null, difference: number | null, wrong: string[] }} Line
 * comparison of one site; `wrong`: descriptions of regressions and failures
 */

/**
 * Compares scores with recorded ones. A broken rule, a day with a score of 0, a site that was not scored and a fall of
 * more than `ALLOWED_FALL` are listed in `wrong`; a site without a recorded score is not.
 * @param {Readonly<Record<string, number>>} recorded
 * @param {readonly Scored[]} scored
 * @param {readonly string[]} wantedSites the sites that should have been scored
 * @returns {Line[]}
 */
export const compareScores = (recorded, scored, wantedSites) =>
	wantedSites.map((site) => {
		const result = scored.find((candidate) => candidate.site === site)
		const recordedScore = recorded[site] ?? null
		if (result === undefined)
			return {
				site,
				score: Number.NaN,
				recorded: recordedScore,
				difference: null,
				wrong: ['was not scored'],
			}
		const difference = recordedScore === null ? null : result.score - recordedScore
		const wrong = [
			...result.rules.map((rule) => `rule broken: ${rule}`),
			...result.failed.map((day) => `the day ${day} counts for nothing`),
		]
		if (difference !== null && difference < -ALLOWED_FALL - EPSILON)
			wrong.push(`fell by ${(-difference).toFixed(3)}, more than ${ALLOWED_FALL}`)
		return { site, score: result.score, recorded: recordedScore, difference, wrong }
	})

/**
 * Returns the score in an entry of the journal; null: the entry is not a finished scoring run.
 * @param {any} entry
 * @returns {Scored | null}
 */
export const readEntry = (entry) => {
	if (entry?.cmd !== 'score' || entry.ok !== true || typeof entry.site !== 'string') return null
	const days = Array.isArray(entry.days) ? entry.days : []
	return {
		site: entry.site,
		score: Number(entry.score),
		rules: days.flatMap((/** @type {any} */ day) =>
			Object.entries(day.rules ?? {}).map(([rule, count]) => `${rule} on ${day.name} (${count})`),
		),
		failed: days
			.filter((/** @type {any} */ day) => !(day.score > 0))
			.map((/** @type {any} */ day) => day.name),
	}
}

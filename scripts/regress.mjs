// Scores the regression sites with the users' bench and compares the scores with those in docs/regress.json:
//   npm run regress [-- [--fleet] [--hunt] [--only] [--record] [--why TEXT] [KIT]]
// --fleet, --hunt: also score these deployments; --only: score only these. --record: update the recorded scores.
// Exits 1 on a broken rule, a day with a score of 0 or a score that fell by more than 0.03; 2 if there is no kit.
import { spawnSync } from 'node:child_process'
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { compareScores, readEntry } from './compare-scores.mjs'

const RECORDED_SCORES = 'docs/regress.json'
const JOURNAL = 'journal'
const DEFAULT_KIT = '../given/kit'
const BENCH = 'more/hunt/bin/fleetbench'
const SITES = [
	'next/daugava-credit-batch-grown',
	'next/szalkabel-jobs-grown',
	'more/daugava-credit-batch-ops',
	'more/szalkabel-jobs-ops',
]
const FLEET_SITES = ['more/fleet/daugava-credit-batch-fleet', 'more/fleet/szalkabel-jobs-fleet']
const HUNT_SITES = ['more/hunt/daugava-credit-batch-hunt', 'more/hunt/szalkabel-jobs-hunt']

const { values, positionals } = parseArgs({
	allowPositionals: true,
	options: {
		fleet: { type: 'boolean', default: false },
		hunt: { type: 'boolean', default: false },
		only: { type: 'boolean', default: false },
		record: { type: 'boolean', default: false },
		why: { type: 'string', default: 'Regression run.' },
	},
})

const fail = (problem) => {
	process.stderr.write(`regress: ${problem}\n`)
	process.exit(2)
}

/** Returns the sites that the options select. */
const selectSites = () => [
	...(values.only ? [] : SITES),
	...(values.fleet ? FLEET_SITES : []),
	...(values.hunt ? HUNT_SITES : []),
]

/** Runs the bench and returns the scores that it added to the journal. */
const scoreSites = (bench, kit, sites) => {
	const before = new Set(readdirSync(JOURNAL))
	const files = sites.map((site) => join(kit, `${site}.toml`))
	const run = spawnSync(bench, ['score', ...files, '--quick', '--why', values.why], { stdio: 'inherit' })
	if (run.error !== undefined) fail(`the bench could not be started: ${run.error.message}`)
	return readdirSync(JOURNAL)
		.filter((file) => file.endsWith('.json') && !before.has(file))
		.map((file) => readEntry(JSON.parse(readFileSync(join(JOURNAL, file), 'utf8'))))
		.filter((score) => score !== null)
}

const formatScore = (number) => (number === null ? '    -' : number.toFixed(3).padStart(6))

const printLines = (lines) => {
	process.stdout.write(`${'site'.padEnd(30)}  score  recorded  difference\n`)
	for (const { site, score, recorded, difference, wrong } of lines) {
		process.stdout.write(
			`${site.padEnd(30)} ${formatScore(score)}    ${formatScore(recorded)}      ${formatScore(difference)}\n`,
		)
		for (const problem of wrong) process.stdout.write(`  ${problem}\n`)
	}
}

/** Replaces the recorded scores of the sites that were scored. */
const recordScores = (recorded, lines) => {
	const scores = { ...recorded }
	for (const { site, score } of lines) if (Number.isFinite(score)) scores[site] = Number(score.toFixed(4))
	writeFileSync(RECORDED_SCORES, `${JSON.stringify(scores, null, '\t')}\n`)
}

const kit = positionals[0] ?? DEFAULT_KIT
const bench = join(kit, BENCH)
if (!existsSync(bench)) fail(`there is no kit at ${kit}: nothing was scored`)
const sites = selectSites()
if (sites.length === 0) fail('--only needs --fleet or --hunt')
const scored = scoreSites(bench, kit, sites)
const recorded = existsSync(RECORDED_SCORES) ? JSON.parse(readFileSync(RECORDED_SCORES, 'utf8')) : {}
const siteNames = sites.map((site) => site.split('/').pop() ?? site)
const lines = compareScores(recorded, scored, siteNames)
printLines(lines)
if (values.record) recordScores(recorded, lines)
process.exit(lines.some((line) => line.wrong.length > 0) ? 1 : 0)

// Scores the regression sites with the users' bench and compares with docs/regress.json.
//   npm run regress [-- [--fleet] [--hunt] [--only] [--record] [--why TEXT] [KIT]]
// --fleet, --hunt: those deployments too; --only: no others.
// Exits 1 on a broken rule, a day that counts for nothing or a fall of more than 0.03; 2 if there is no kit.
import { spawnSync } from 'node:child_process'
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { compareScores, readEntry } from './compare-scores.mjs'

const TABLE = 'docs/regress.json'
const SITES = [
	'next/daugava-credit-batch-grown',
	'next/szalkabel-jobs-grown',
	'more/daugava-credit-batch-ops',
	'more/szalkabel-jobs-ops',
]
const FLEET = ['more/fleet/daugava-credit-batch-fleet', 'more/fleet/szalkabel-jobs-fleet']
const HUNT = ['more/hunt/daugava-credit-batch-hunt', 'more/hunt/szalkabel-jobs-hunt']

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
const kit = positionals[0] ?? '../given/kit'
const bench = join(kit, 'more/hunt/bin/fleetbench')
if (!existsSync(bench)) {
	process.stderr.write(`regress: there is no kit at ${kit}: nothing was scored\n`)
	process.exit(2)
}
const sites = [...(values.only ? [] : SITES), ...(values.fleet ? FLEET : []), ...(values.hunt ? HUNT : [])]
if (sites.length === 0) {
	process.stderr.write('regress: --only needs --fleet or --hunt\n')
	process.exit(2)
}
const before = new Set(readdirSync('journal'))
const run = spawnSync(
	bench,
	['score', ...sites.map((s) => join(kit, `${s}.toml`)), '--quick', '--why', values.why],
	{
		stdio: 'inherit',
	},
)
if (run.error !== undefined) {
	process.stderr.write(`regress: the bench could not be started: ${run.error.message}\n`)
	process.exit(2)
}
const scored = readdirSync('journal')
	.filter((f) => f.endsWith('.json') && !before.has(f))
	.map((f) => readEntry(JSON.parse(readFileSync(join('journal', f), 'utf8'))))
	.filter((s) => s !== null)
const recorded = existsSync(TABLE) ? JSON.parse(readFileSync(TABLE, 'utf8')) : {}
const lines = compareScores(
	recorded,
	scored,
	sites.map((s) => s.split('/').pop() ?? s),
)
const figure = (n) => (n === null ? '    -' : n.toFixed(3).padStart(6))
process.stdout.write(`${'site'.padEnd(30)}  score  recorded  difference\n`)
for (const l of lines) {
	process.stdout.write(
		`${l.site.padEnd(30)} ${figure(l.score)}    ${figure(l.recorded)}      ${figure(l.difference)}\n`,
	)
	for (const w of l.wrong) process.stdout.write(`  ${w}\n`)
}
if (values.record) {
	for (const l of lines) if (Number.isFinite(l.score)) recorded[l.site] = Number(l.score.toFixed(4))
	writeFileSync(TABLE, `${JSON.stringify(recorded, null, '\t')}\n`)
}
process.exit(lines.some((l) => l.wrong.length > 0) ? 1 : 0)

// Long version of the test of event streams over loopback:
//   npm run prove:streams -- --seed N --jobs N [--for SECONDS] [--every MS]
// Exits 1 if there are findings.
import { parseArgs } from 'node:util'
import { build } from 'esbuild'
import { shared } from './bundle.mjs'

const { values } = parseArgs({
	options: {
		seed: { type: 'string', default: '1' },
		jobs: { type: 'string', default: '300' },
		for: { type: 'string', default: '300' },
		every: { type: 'string', default: '250' },
	},
})
await build({
	...shared,
	entryPoints: { 'stream-checks': 'packages/testkit/src/stream-checks.ts' },
	outdir: 'target',
})
const { checkStreams } = await import(new URL('../target/stream-checks.cjs', import.meta.url).href)
const result = await checkStreams({
	seed: Number(values.seed),
	jobs: Number(values.jobs),
	forS: Number(values.for),
	everyMs: Number(values.every),
})
const { missing, repeated, reverted, unexpected, failedSubmissions, violations } = result
const rows = {
	seed: values.seed,
	jobs: result.jobs,
	readers: result.readers,
	events: result.events,
	'connections broken': result.cuts,
	'controllers crashed': result.crashes,
	'periods of lost responses': result.responseLosses,
	'terminal states missing': missing.length,
	'terminal states repeated': repeated.length,
	'states reverted': reverted.length,
	'streams restarted after a gap': result.gaps,
	'unexpected jobs': unexpected.length,
	'failed submissions': failedSubmissions.length,
	'rules broken': violations.length,
	seconds: result.seconds.toFixed(1),
}
for (const [name, value] of Object.entries(rows)) process.stdout.write(`${name.padEnd(30)} ${value}\n`)
/** Maximum number of findings that are printed. */
const MAX_PRINTED_FINDINGS = 20
const findings = [...missing, ...repeated, ...reverted, ...unexpected, ...failedSubmissions, ...violations]
for (const finding of findings.slice(0, MAX_PRINTED_FINDINGS)) process.stderr.write(`${finding}\n`)
process.exit(findings.length > 0 ? 1 : 0)

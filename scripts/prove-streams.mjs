// The long form of the loopback test of streams: npm run prove:streams -- --seed N --jobs N [--for SECONDS]
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
	entryPoints: { prove: 'packages/testkit/src/stream-checks.ts' },
	outdir: 'target',
})
const { proveStreams } = await import(new URL('../target/prove.cjs', import.meta.url).href)
const p = await proveStreams({
	seed: Number(values.seed),
	jobs: Number(values.jobs),
	forS: Number(values.for),
	everyMs: Number(values.every),
})
const rows = {
	seed: values.seed,
	jobs: p.jobs,
	readers: p.readers,
	events: p.events,
	'connections cut': p.cuts,
	'controllers crashed': p.crashes,
	'spells of lost answers': p.lossy,
	'finals missing': p.missing.length,
	'finals repeated': p.repeated.length,
	'states gone back': p.wentBack.length,
	'streams begun anew': p.gaps,
	'jobs nobody submitted': p.strange.length,
	'submissions without an answer': p.refused.length,
	'rules broken': p.broken.length,
	seconds: p.seconds.toFixed(1),
}
for (const [name, value] of Object.entries(rows)) process.stdout.write(`${name.padEnd(30)} ${value}\n`)
for (const line of [
	...p.missing,
	...p.repeated,
	...p.wentBack,
	...p.strange,
	...p.refused,
	...p.broken,
].slice(0, 20))
	process.stderr.write(`${line}\n`)
const wrong = p.missing.length + p.repeated.length + p.wentBack.length + p.strange.length + p.refused.length
process.exit(wrong + p.broken.length > 0 ? 1 : 0)

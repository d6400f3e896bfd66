// Runs many jobs in virtual time and prints which numbers of keys and changes grow with the number of finished jobs:
//   npm run measure:history [-- --jobs N --seed N --marks N --per-s N]
import { parseArgs } from 'node:util'
import { build } from 'esbuild'
import { shared } from './bundle.mjs'

const { values } = parseArgs({
	options: {
		jobs: { type: 'string', default: '6000' },
		seed: { type: 'string', default: '1' },
		marks: { type: 'string', default: '6' },
		'per-s': { type: 'string', default: '2' },
	},
})
await build({
	...shared,
	entryPoints: { 'history-growth': 'packages/testkit/src/history-growth.ts' },
	outdir: 'target',
})
const { measureHistoryGrowth } = await import(new URL('../target/history-growth.cjs', import.meta.url).href)
const growth = await measureHistoryGrowth({
	jobs: Number(values.jobs),
	jobsPerS: Number(values['per-s']),
	samples: Number(values.marks),
	seed: Number(values.seed),
})
process.stdout.write('  jobs   watched  archive keys  held  changes/job  for outcomes  for the archive\n')
for (const { jobs, watchedKeys, archiveKeys, changes, heldTerminalStates } of growth.samples) {
	const perJob = (count, width) => (count / jobs).toFixed(2).padStart(width)
	const columns = [
		String(jobs).padStart(6),
		String(watchedKeys).padStart(8),
		String(archiveKeys).padStart(12),
		String(heldTerminalStates).padStart(4),
		perJob(changes.all, 11),
		perJob(changes.outcomes, 12),
		perJob(changes.archive, 15),
	]
	process.stdout.write(`${columns.join('  ')}\n`)
}
process.stdout.write(`${growth.violations.length} rules broken, ${growth.unfinished} jobs not terminal\n`)
for (const violation of growth.violations.slice(0, 10)) process.stderr.write(`${violation}\n`)
process.exit(growth.violations.length > 0 ? 1 : 0)

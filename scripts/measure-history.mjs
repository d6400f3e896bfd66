// Plays a history in virtual time and prints what grows with it: npm run measure:history [-- --jobs N --seed N]
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
await build({ ...shared, entryPoints: { month: 'packages/testkit/src/history-growth.ts' }, outdir: 'target' })
const { playMonth } = await import(new URL('../target/month.cjs', import.meta.url).href)
const month = await playMonth(
	Number(values.jobs),
	Number(values['per-s']),
	Number(values.marks),
	Number(values.seed),
)
process.stdout.write('  jobs  followed  archive keys  held  changes/job  for outcomes  for the archive\n')
for (const m of month.marks) {
	const per = (n) => (n / m.jobs).toFixed(2)
	process.stdout.write(
		`${String(m.jobs).padStart(6)}  ${String(m.followed).padStart(8)}  ${String(m.archived).padStart(12)}  ${String(m.held).padStart(4)}  ${per(m.changes.all).padStart(11)}  ${per(m.changes.outcomes).padStart(12)}  ${per(m.changes.archive).padStart(15)}\n`,
	)
}
process.stdout.write(`${month.broken.length} rules broken, ${month.unfinished} jobs not over\n`)
for (const b of month.broken.slice(0, 10)) process.stderr.write(`${b}\n`)
process.exit(month.broken.length > 0 ? 1 : 0)

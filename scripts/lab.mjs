// Runs the lab, which has real controllers and fake services:
//   npm run lab -- run deploy/lab/FILE.ini
//   npm run lab -- start
import { spawnSync } from 'node:child_process'
import { build } from 'esbuild'
import { shared } from './bundle.mjs'
import './build.mjs'

await build({
	...shared,
	entryPoints: { lab: 'packages/lab/src/main.ts' },
	outdir: 'target',
	// uplot is read from its package at run time.
	external: [...shared.external, 'uplot'],
	define: { 'import.meta.url': 'undefined' },
})
const run = spawnSync(process.execPath, ['target/lab.cjs', ...process.argv.slice(2)], { stdio: 'inherit' })
process.exit(run.status ?? 1)

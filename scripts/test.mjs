// Bundles every file of tests/ and hands it to Node's own test runner.
import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { build } from 'esbuild'

const files = readdirSync('tests').filter((f) => f.endsWith('.test.ts'))
await build({
	entryPoints: files.map((f) => `tests/${f}`),
	outdir: 'target/tests',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	sourcemap: 'inline',
	outExtension: { '.js': '.cjs' },
	logLevel: 'warning',
})
const run = spawnSync(
	process.execPath,
	['--enable-source-maps', '--test', ...files.map((f) => `target/tests/${f.replace(/\.ts$/, '.cjs')}`)],
	{ stdio: 'inherit' },
)
process.exit(run.status ?? 1)

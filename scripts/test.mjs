// Bundles every file of tests/ and hands it to Node's own test runner. Tests that KNOWN-RED.txt names may fail; they
// are run and printed all the same.
import { spawn } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { build } from 'esbuild'
import { shared } from './bundle.mjs'
import { judge, readKnownRed } from './known-red.mjs'

const LIST = 'KNOWN-RED.txt'
const { known, wrong } = readKnownRed(existsSync(LIST) ? readFileSync(LIST, 'utf8') : '')
for (const what of wrong) process.stderr.write(`${LIST}: ${what}\n`)
if (wrong.length > 0) process.exit(2)

const files = readdirSync('tests').filter((f) => f.endsWith('.test.ts'))
await build({
	...shared,
	entryPoints: files.map((f) => `tests/${f}`),
	outdir: 'target/tests',
	sourcemap: 'inline',
})
const run = spawn(
	process.execPath,
	[
		'--enable-source-maps',
		'--test',
		// A file that never ends fails the run instead of holding it up. One whose tests have all ended is not waited for:
		// the proof of streams now and then left something behind that kept its process (docs/ROADMAP.md).
		'--test-timeout=300000',
		'--test-force-exit',
		'--test-reporter=tap',
		...files.map((f) => `target/tests/${f.replace(/\.ts$/, '.cjs')}`),
	],
	{ stdio: ['ignore', 'pipe', 'inherit'] },
)
const results = []
for await (const line of createInterface({ input: run.stdout })) {
	process.stdout.write(`${line}\n`)
	const result = /^(not )?ok \d+ - (.*)$/.exec(line)
	if (result !== null) results.push({ name: result[2].replaceAll('\\#', '#'), ok: result[1] === undefined })
}
const status = await new Promise((done) =>
	run.exitCode === null ? run.on('exit', done) : done(run.exitCode),
)
const { ok, lines } = judge(known, results)
for (const line of lines) process.stdout.write(`${line}\n`)
// A runner that failed without a failed test of its own, or that ran none, has failed.
const explained = status === 0 || results.some((r) => !r.ok)
process.exit(ok && explained && results.length > 0 ? 0 : 1)

// Bundles every test file in tests/ and runs the bundles with Node's test runner. Tests that KNOWN-RED.txt names may fail;
// they are run and reported nevertheless.
import { spawn } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { build } from 'esbuild'
import { shared } from './bundle.mjs'
import { judge, readKnownRed } from './known-red.mjs'

const KNOWN_RED_FILE = 'KNOWN-RED.txt'
const RUNNER_OPTIONS = [
	'--enable-source-maps',
	'--test',
	// A file whose process does not exit fails the run even if all of its tests passed: it left something open.
	'--test-timeout=300000',
	'--test-reporter=tap',
]

/** Runs bundled test files and prints the runner's output; returns its exit status and the result of each test. */
const runTests = async (bundles) => {
	const runner = spawn(process.execPath, [...RUNNER_OPTIONS, ...bundles], {
		stdio: ['ignore', 'pipe', 'inherit'],
	})
	const results = []
	for await (const line of createInterface({ input: runner.stdout })) {
		process.stdout.write(`${line}\n`)
		const result = /^(not )?ok \d+ - (.*)$/.exec(line)
		if (result === null) continue
		const [, failed, name] = result
		results.push({ name: name.replaceAll('\\#', '#'), ok: failed === undefined })
	}
	const status = await new Promise((done) =>
		runner.exitCode === null ? runner.on('exit', done) : done(runner.exitCode),
	)
	return { status, results }
}

const { known, wrong } = readKnownRed(existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, 'utf8') : '')
for (const problem of wrong) process.stderr.write(`${KNOWN_RED_FILE}: ${problem}\n`)
if (wrong.length > 0) process.exit(2)

const files = readdirSync('tests').filter((file) => file.endsWith('.test.ts'))
await build({
	...shared,
	entryPoints: files.map((file) => `tests/${file}`),
	outdir: 'target/tests',
	sourcemap: 'inline',
})
const bundles = files.map((file) => `target/tests/${file.replace(/\.ts$/, '.cjs')}`)
const { status, results } = await runTests(bundles)
const { ok, lines } = judge(known, results)
for (const line of lines) process.stdout.write(`${line}\n`)
// The run also fails if the runner failed although no test did, or if no test was run.
const isExplained = status === 0 || results.some((result) => !result.ok)
process.exit(ok && isExplained && results.length > 0 ? 0 : 1)

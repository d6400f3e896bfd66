// Runs simulated days in virtual time and prints a digest of all messages that controllers send and receive on each day:
//   npm run trace:days -- [--kind any|plugins|gap|meetings|migration|streams] [--from N] [--to N] [--jobs N] [--out FILE | --check FILE]
//   npm run trace:days -- [--kind K] --dump SEED [--out FILE]
// --out records the digests. --check compares them with recorded ones, prints the seeds that differ and exits 1 if there
// are any. --jobs: number of days that run at a time.
// --dump writes the messages of one seed as lines of text, for comparing those of two versions.
import { execFile } from 'node:child_process'
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parseArgs, promisify } from 'node:util'
import { build } from 'esbuild'
import { shared } from './bundle.mjs'

/** A day takes seconds; one that takes this long is considered hung. */
const DAY_TIMEOUT_MS = 120_000
const KINDS = ['any', 'plugins', 'gap', 'meetings', 'migration', 'streams']
const TRACE_DAY_SCRIPT = fileURLToPath(new URL('trace-day.mjs', import.meta.url))

const run = promisify(execFile)

const { values } = parseArgs({
	options: {
		kind: { type: 'string', default: 'any' },
		from: { type: 'string', default: '1' },
		to: { type: 'string', default: '40' },
		jobs: { type: 'string', default: '4' },
		out: { type: 'string' },
		check: { type: 'string' },
		dump: { type: 'string' },
	},
})

const fail = (problem) => {
	process.stderr.write(`trace-days: ${problem}\n`)
	process.exit(2)
}

/** Returns an option's value, which must be a positive integer. */
const positiveInteger = (name) => {
	const number = Number(values[name])
	return Number.isInteger(number) && number > 0 ? number : fail(`--${name} takes a number from 1 on`)
}

/** Runs one day in its own process. */
const runDay = async (seed, ...dump) => {
	const { stdout } = await run(process.execPath, [TRACE_DAY_SCRIPT, values.kind, String(seed), ...dump], {
		timeout: DAY_TIMEOUT_MS,
	})
	return JSON.parse(stdout)
}

/** Runs all days, several at a time, and returns their digests in the order of seeds. */
const runDays = async (from, to, jobs) => {
	const digests = new Map()
	let next = from
	const lane = async () => {
		while (next <= to) {
			const seed = next++
			digests.set(seed, await runDay(seed))
		}
	}
	await Promise.all(Array.from({ length: jobs }, lane))
	return new Map([...digests].sort(([a], [b]) => a - b))
}

/** Writes digests by seed to a file. */
const writeDigests = (file, digests) => {
	const kept = { kind: values.kind, seeds: Object.fromEntries(digests) }
	mkdirSync(dirname(file), { recursive: true })
	writeFileSync(file, `${JSON.stringify(kept, null, '\t')}\n`)
}

/** Compares digests with those in a file; returns a line for each seed that differs. */
const compareWithRecorded = (file, digests) => {
	const kept = JSON.parse(readFileSync(file, 'utf8'))
	if (kept.kind !== values.kind) fail(`${file} holds days of the kind ${kept.kind}`)
	return [...digests].flatMap(([seed, found]) => {
		const before = kept.seeds[seed]
		if (before === undefined) return [`seed ${seed}: not kept`]
		if (before.sha256 === found.sha256) return []
		return [`seed ${seed}: differs (${before.messages} messages before, ${found.messages} now)`]
	})
}

if (!KINDS.includes(values.kind)) fail(`--kind is one of ${KINDS.join(', ')}`)
if (values.check !== undefined && (values.out !== undefined || values.dump !== undefined))
	fail('--check goes with neither --out nor --dump')
await build({ ...shared, entryPoints: { trace: 'packages/testkit/src/trace.ts' }, outdir: 'target' })

if (values.dump !== undefined) {
	const seed = positiveInteger('dump')
	const file = values.out ?? `target/trace-${values.kind}-${seed}.txt`
	mkdirSync(dirname(file), { recursive: true })
	const { messages, sha256 } = await runDay(seed, file)
	process.stdout.write(`seed ${seed}: ${messages} messages ${sha256}, in ${file}\n`)
	process.exit(0)
}

const startedMs = performance.now()
const digests = await runDays(positiveInteger('from'), positiveInteger('to'), positiveInteger('jobs'))
for (const [seed, { messages, sha256 }] of digests)
	process.stdout.write(`seed ${seed}: ${messages} messages ${sha256}\n`)
const seconds = ((performance.now() - startedMs) / 1000).toFixed(1)
process.stdout.write(`${digests.size} days of the kind ${values.kind} in ${seconds} s\n`)
if (values.out !== undefined) writeDigests(values.out, digests)
if (values.check !== undefined) {
	const differences = compareWithRecorded(values.check, digests)
	for (const difference of differences) process.stdout.write(`${difference}\n`)
	process.stdout.write(`${differences.length} of ${digests.size} days differ from ${values.check}\n`)
	process.exit(differences.length > 0 ? 1 : 0)
}

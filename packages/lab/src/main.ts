/** Command line of the lab. */
import { writeFileSync } from 'node:fs'
import { Command } from 'commander'
import type { Histogram } from 'hdr-histogram-js'
import type { Build } from './controller-process.js'
import { InvalidExperiment, readExperiment } from './experiment.js'
import { type ExperimentResult, runExperiment } from './experiment-run.js'
import { createHtmlReport } from './html-report.js'
import { measureStart, type StartMeasurement } from './start-measurement.js'

const DEFAULT_BUILD = 'target/main.cjs'
/** Maximum number of violations that are printed. */
const MAX_PRINTED_VIOLATIONS = 10

interface RunOptions {
	build?: string[]
	ini: string
	report: string
	json?: string
}

interface StartOptions {
	build: string
	ini: string
	form: string
	jobs: string
	limited?: boolean
}

const print = (line: string): void => {
	process.stdout.write(`${line}\n`)
}

const appendValue = (text: string, before: string[] | undefined): string[] => [...(before ?? []), text]

/** Parses `--build`; `FILE@none` is a bundle without settings, for versions that do not know the sections of `ini`. */
const parseBuild = (text: string, ini: string): Build => {
	const [main, settings] = text.split('@')
	return { main, ini: settings === 'none' ? null : ini }
}

const printLatencies = (latencies: ExperimentResult['latencies']): void => {
	for (const [kind, histogram] of Object.entries(latencies)) {
		const count = String(histogram.totalCount).padStart(6)
		const [p50, p99] = percentiles(histogram, 50, 99)
		print(`${kind.padEnd(9)} ${count}  p50 ${p50}  p99 ${p99}  most ${histogram.maxValue} ms`)
	}
}

const printRecoveries = (recoveries: ExperimentResult['recoveries']): void => {
	for (const { kind, atS, after } of recoveries) {
		const times = Object.entries(after).map(
			([request, seconds]) => `${request} ${seconds === null ? 'never' : seconds.toFixed(1)}`,
		)
		print(`${kind} at ${atS} s, answered again after: ${times.join(', ')}`)
	}
}

const printClasses = (classes: ExperimentResult['classes']): void => {
	for (const [name, histogram] of Object.entries(classes).sort()) {
		const count = String(histogram.totalCount).padStart(4)
		const [p50, p90] = percentiles(histogram, 50, 90)
		print(`${name.padEnd(18)} ${count} over, after p50 ${p50}, p90 ${p90}, most ${histogram.maxValue} ms`)
	}
}

const percentiles = (histogram: Histogram, ...points: number[]): number[] =>
	points.map((point) => histogram.getValueAtPercentile(point))

const printResult = (result: ExperimentResult): void => {
	const { jobs, violations, unexpectedExits } = result
	printLatencies(result.latencies)
	printRecoveries(result.recoveries)
	printClasses(result.classes)
	const peakMb = Math.max(...result.seconds.flatMap((second) => second.memoryMb))
	print(
		`${jobs.accepted} accepted, ${jobs.finished} over, ${violations.length} broken, ${unexpectedExits.length} ended, ${peakMb.toFixed(0)} MB at most`,
	)
	for (const violation of violations.slice(0, MAX_PRINTED_VIOLATIONS)) process.stderr.write(`${violation}\n`)
}

const run = async (file: string, options: RunOptions): Promise<void> => {
	const experiment = readExperiment(file)
	const results: ExperimentResult[] = []
	for (const build of options.build ?? [DEFAULT_BUILD]) {
		const result = await runExperiment(experiment, parseBuild(build, options.ini))
		results.push(result)
		printResult(result)
	}
	if (options.json !== undefined) writeFileSync(options.json, JSON.stringify(results.at(-1)?.seconds))
	writeFileSync(options.report, createHtmlReport(experiment, results))
	print(options.report)
	process.exit(results.some((result) => result.violations.length > 0) ? 1 : 0)
}

const readyText = ({ readyS, unexpectedExits }: StartMeasurement): string => {
	if (readyS !== null) return readyS.toFixed(2)
	return unexpectedExits > 0 ? 'ends' : 'never'
}

const start = async (options: StartOptions): Promise<void> => {
	print('finished jobs  ready s  peak MB  requests      bytes')
	const build = parseBuild(options.build, options.ini)
	const format = options.form === '1' ? 1 : 2
	for (const jobs of options.jobs.split(',').map(Number)) {
		const measurement = await measureStart(build, format, jobs, options.limited === true)
		const columns = [
			String(jobs).padStart(13),
			readyText(measurement).padStart(7),
			measurement.peakMb.toFixed(0).padStart(7),
			String(measurement.requests).padStart(8),
			String(measurement.bytes).padStart(9),
		]
		print(columns.join('  '))
	}
	process.exit(0)
}

const program = new Command('lab').description('runs experiments with real controllers and fake services')

program
	.command('run')
	.argument('<file>', 'the experiment (INI)')
	.option(
		'--build <main.cjs>',
		'a bundle; may be repeated to compare builds side by side; FILE@none runs without settings',
		appendValue,
	)
	.option('--ini <file>', "operators' settings of the controllers", 'deploy/history.ini')
	.option('--report <file>', 'path of the HTML report', 'target/lab.html')
	.option('--json <file>', 'path of a JSON file with each second of the last build')
	.action(run)

program
	.command('start')
	.description(
		'measures how long a controller takes to start, and how much it reads, by number of finished jobs',
	)
	.option('--build <main.cjs>', 'a bundle', DEFAULT_BUILD)
	.option('--ini <file>', "operators' settings", 'deploy/history.ini')
	.option('--form <n>', 'format of the records: 1 or 2', '2')
	.option('--jobs <n,n>', 'numbers of finished jobs', '0,20000,200000,2000000,10000000')
	.option('--limited', "enforces the state service's limits")
	.action(start)

program.parseAsync().catch((error) => {
	if (!(error instanceof InvalidExperiment)) throw error
	process.stderr.write(`lab: ${error.message}\n`)
	process.exit(2)
})

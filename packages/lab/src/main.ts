/** Program: the lab's command line. */
import { writeFileSync } from 'node:fs'
import { Command } from 'commander'
import type { Histogram } from 'hdr-histogram-js'
import type { Build } from './controller-process.js'
import { BadExperiment, readExperiment } from './experiment.js'
import { type Outcome, runExperiment } from './experiment-run.js'
import { htmlReport } from './html-report.js'
import { measureStart, type StartFigures } from './start-measurement.js'

const DEFAULT_BUILD = 'target/main.cjs'
/** So many violations are printed at the most. */
const MAX_PRINTED = 10

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

const collect = (text: string, before: string[] | undefined): string[] => [...(before ?? []), text]

/** A bundle to measure; one whose settings know no such section is measured without any: `FILE@none`. */
const parseBuild = (text: string, ini: string): Build => {
	const [main, settings] = text.split('@')
	return { main, ini: settings === 'none' ? null : ini }
}

const printLatencies = (latencies: Outcome['latencies']): void => {
	for (const [kind, histogram] of Object.entries(latencies)) {
		const count = String(histogram.totalCount).padStart(6)
		const [p50, p99] = percentiles(histogram, 50, 99)
		print(`${kind.padEnd(9)} ${count}  p50 ${p50}  p99 ${p99}  most ${histogram.maxValue} ms`)
	}
}

const printRecoveries = (recoveries: Outcome['recoveries']): void => {
	for (const { kind, atS, after } of recoveries) {
		const times = Object.entries(after).map(
			([request, seconds]) => `${request} ${seconds === null ? 'never' : seconds.toFixed(1)}`,
		)
		print(`${kind} at ${atS} s, answered again after: ${times.join(', ')}`)
	}
}

const printClasses = (classes: Outcome['classes']): void => {
	for (const [name, histogram] of Object.entries(classes).sort()) {
		const count = String(histogram.totalCount).padStart(4)
		const [p50, p90] = percentiles(histogram, 50, 90)
		print(`${name.padEnd(18)} ${count} over, after p50 ${p50}, p90 ${p90}, most ${histogram.maxValue} ms`)
	}
}

const percentiles = (histogram: Histogram, ...points: number[]): number[] =>
	points.map((point) => histogram.getValueAtPercentile(point))

const printOutcome = (outcome: Outcome): void => {
	const { jobs, violations, ends } = outcome
	printLatencies(outcome.latencies)
	printRecoveries(outcome.recoveries)
	printClasses(outcome.classes)
	const peakMb = Math.max(...outcome.seconds.flatMap((second) => second.memoryMb))
	print(
		`${jobs.accepted} accepted, ${jobs.over} over, ${violations.length} broken, ${ends.length} ended, ${peakMb.toFixed(0)} MB at most`,
	)
	for (const violation of violations.slice(0, MAX_PRINTED)) process.stderr.write(`${violation}\n`)
}

const run = async (file: string, options: RunOptions): Promise<void> => {
	const experiment = readExperiment(file)
	const outcomes: Outcome[] = []
	for (const build of options.build ?? [DEFAULT_BUILD]) {
		const outcome = await runExperiment(experiment, parseBuild(build, options.ini))
		outcomes.push(outcome)
		printOutcome(outcome)
	}
	if (options.json !== undefined) writeFileSync(options.json, JSON.stringify(outcomes.at(-1)?.seconds))
	writeFileSync(options.report, htmlReport(experiment, outcomes))
	print(options.report)
	process.exit(outcomes.some((outcome) => outcome.violations.length > 0) ? 1 : 0)
}

const readyText = ({ readyS, ends }: StartFigures): string => {
	if (readyS !== null) return readyS.toFixed(2)
	return ends > 0 ? 'ends' : 'never'
}

const start = async (options: StartOptions): Promise<void> => {
	print('finished jobs  ready s  peak MB  requests      bytes')
	const build = parseBuild(options.build, options.ini)
	const form = options.form === '1' ? 1 : 2
	for (const jobs of options.jobs.split(',').map(Number)) {
		const figures = await measureStart(build, form, jobs, options.limited === true)
		const columns = [
			String(jobs).padStart(13),
			readyText(figures).padStart(7),
			figures.peakMb.toFixed(0).padStart(7),
			String(figures.requests).padStart(8),
			String(figures.bytes).padStart(9),
		]
		print(columns.join('  '))
	}
	process.exit(0)
}

const program = new Command('lab').description('experiments with real controllers among stand-ins')

program
	.command('run')
	.argument('<file>', 'the experiment (INI)')
	.option(
		'--build <main.cjs>',
		'a bundle; again for another one, side by side; FILE@none runs without settings',
		collect,
	)
	.option('--ini <file>', "operators' settings of the controllers", 'deploy/history.ini')
	.option('--report <file>', 'where the page goes', 'target/lab.html')
	.option('--json <file>', 'the seconds of the last build, for programs')
	.action(run)

program
	.command('start')
	.description('how long a controller takes to start, and what it reads, by finished jobs')
	.option('--build <main.cjs>', 'a bundle', DEFAULT_BUILD)
	.option('--ini <file>', "operators' settings", 'deploy/history.ini')
	.option('--form <n>', 'of the records: 1 or 2', '2')
	.option('--jobs <n,n>', 'finished jobs', '0,20000,200000,2000000,10000000')
	.option('--limited', "with the state's limits on")
	.action(start)

program.parseAsync().catch((error) => {
	if (!(error instanceof BadExperiment)) throw error
	process.stderr.write(`lab: ${error.message}\n`)
	process.exit(2)
})

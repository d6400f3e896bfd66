import { writeFileSync } from 'node:fs'
import { Command } from 'commander'
import type { Build } from './controllers.js'
import { BadExperiment, readExperiment } from './experiment.js'
import { htmlReport } from './report.js'
import { runExperiment } from './run.js'
import { measureStart } from './start.js'

const several = (text: string, before: string[] | undefined): string[] => [...(before ?? []), text]
const builds = (mains: string[] | undefined, ini: string): Build[] =>
	(mains ?? ['target/main.cjs']).map((main) => {
		// A build that knows no such section is measured as it was.
		const [path, own] = main.split('@')
		return { main: path, ini: own === 'none' ? null : ini }
	})

const program = new Command('lab').description('experiments with real controllers among stand-ins')

program
	.command('run')
	.argument('<file>', 'the experiment (INI)')
	.option(
		'--build <main.cjs>',
		'a bundle; again for another one, side by side; FILE@none runs without settings',
		several,
	)
	.option('--ini <file>', "operators' settings of the controllers", 'deploy/history.ini')
	.option('--report <file>', 'where the page goes', 'target/lab.html')
	.option('--json <file>', 'the seconds of the last build, for programs')
	.action(async (file: string, o: { build?: string[]; ini: string; report: string; json?: string }) => {
		const experiment = readExperiment(file)
		const outcomes = []
		for (const build of builds(o.build, o.ini)) {
			const outcome = await runExperiment(experiment, build)
			outcomes.push(outcome)
			for (const [kind, h] of Object.entries(outcome.latencies))
				process.stdout.write(
					`${kind.padEnd(9)} ${String(h.totalCount).padStart(6)}  p50 ${h.getValueAtPercentile(50)}  p99 ${h.getValueAtPercentile(99)}  most ${h.maxValue} ms\n`,
				)
			for (const a of outcome.again)
				process.stdout.write(
					`${a.kind} at ${a.atS} s, answered again after: ${Object.entries(a.after)
						.map(([k, s]) => `${k} ${s === null ? 'never' : s.toFixed(1)}`)
						.join(', ')}\n`,
				)
			for (const [name, h] of Object.entries(outcome.classes).sort())
				process.stdout.write(
					`${name.padEnd(18)} ${String(h.totalCount).padStart(4)} over, after p50 ${h.getValueAtPercentile(50)}, p90 ${h.getValueAtPercentile(90)}, most ${h.maxValue} ms\n`,
				)
			const peak = Math.max(...outcome.seconds.flatMap((s) => s.memoryMb))
			process.stdout.write(
				`${outcome.jobs.accepted} accepted, ${outcome.jobs.over} over, ${outcome.broken.length} broken, ${outcome.ends.length} ended, ${peak.toFixed(0)} MB at most\n`,
			)
			for (const b of outcome.broken.slice(0, 10)) process.stderr.write(`${b}\n`)
		}
		if (o.json !== undefined) writeFileSync(o.json, JSON.stringify(outcomes.at(-1)?.seconds))
		writeFileSync(o.report, htmlReport(experiment, outcomes))
		process.stdout.write(`${o.report}\n`)
		process.exit(outcomes.some((x) => x.broken.length > 0) ? 1 : 0)
	})

program
	.command('start')
	.description('how long a controller takes to start, and what it reads, by finished jobs')
	.option('--build <main.cjs>', 'a bundle', 'target/main.cjs')
	.option('--ini <file>', "operators' settings", 'deploy/history.ini')
	.option('--form <n>', 'of the records: 1 or 2', '2')
	.option('--jobs <n,n>', 'finished jobs', '0,20000,200000,2000000,10000000')
	.option('--limited', "with the state's limits on")
	.action(async (o: { build: string; ini: string; form: string; jobs: string; limited?: boolean }) => {
		process.stdout.write('finished jobs  ready s  peak MB  requests      bytes\n')
		for (const n of o.jobs.split(',').map(Number)) {
			const [build] = builds([o.build], o.ini)
			const f = await measureStart(build, o.form === '1' ? 1 : 2, n, o.limited === true)
			const ready = f.readyS === null ? (f.ends > 0 ? 'ends' : 'never') : f.readyS.toFixed(2)
			process.stdout.write(
				`${String(n).padStart(13)}  ${ready.padStart(7)}  ${f.peakMb.toFixed(0).padStart(7)}  ${String(f.requests).padStart(8)}  ${String(f.bytes).padStart(9)}\n`,
			)
		}
		process.exit(0)
	})

program.parseAsync().catch((e) => {
	if (!(e instanceof BadExperiment)) throw e
	process.stderr.write(`lab: ${e.message}\n`)
	process.exit(2)
})

/** An experiment's outcomes as one HTML page that needs nothing beside itself. */
import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import type { Histogram } from 'hdr-histogram-js'
import type { Experiment } from './experiment.js'
import type { Kind, Outcome } from './experiment-run.js'

const COLOURS = ['#1b6ca8', '#c0392b', '#2e8b57', '#b8860b', '#6a4c93']
/** The percentiles of each table; the last one is the maximum. */
const PERCENTILES = [50, 90, 99, 100]
/** So many violations are shown at the most. */
const MAX_SHOWN = 5

/** One plot over time. */
interface Plot {
	title: string
	/** seconds, then one list for each series */
	data: (number | null)[][]
	/** names of the series */
	names: string[]
}

const ENTITIES: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }
const escaped = (text: string): string => text.replace(/[&<>"]/g, (character) => ENTITIES[character])

const kindsOf = (outcome: Outcome): Kind[] => Object.keys(outcome.latencies) as Kind[]

const plotsOf = (outcome: Outcome): Plot[] => {
	const { seconds } = outcome
	const atS = seconds.map((second) => second.atS)
	const kinds = kindsOf(outcome)
	const controllers = seconds[0].memoryMb.map((_, index) => index)
	return [
		{
			title: 'answered a second',
			data: [atS, ...kinds.map((kind) => seconds.map((second) => second.answered[kind]))],
			names: kinds,
		},
		{
			title: 'refused or unanswered a second',
			data: [atS, ...kinds.map((kind) => seconds.map((second) => second.failed[kind]))],
			names: kinds,
		},
		{
			title: 'memory of each controller, MB',
			data: [atS, ...controllers.map((index) => seconds.map((second) => second.memoryMb[index]))],
			names: controllers.map((index) => `controller ${index}`),
		},
		{
			title: 'requests and changes of the state a second',
			data: [
				atS,
				seconds.map((second) => second.requests),
				seconds.map((second) => second.refused),
				seconds.map((second) => second.changes),
			],
			names: ['requests', 'of them refused', 'changes'],
		},
		{
			title: 'keys that controllers follow',
			data: [atS, seconds.map((second) => second.keys)],
			names: ['keys'],
		},
	]
}

/** A row of a table; neither its title nor its cells are escaped. */
const row = (title: string, cells: readonly (string | number)[]): string =>
	`<tr><td>${title}</td>${cells.map((cell) => `<td>${cell}</td>`).join('')}</tr>`

const histogramRow = (title: string, histogram: Histogram): string => {
	const percentiles = PERCENTILES.map((point) => histogram.getValueAtPercentile(point))
	return row(title, [histogram.totalCount, ...percentiles])
}

const latencyRows = (outcome: Outcome): string =>
	kindsOf(outcome)
		.map((kind) => histogramRow(kind, outcome.latencies[kind]))
		.join('')

const classRows = (outcome: Outcome): string =>
	Object.entries(outcome.classes)
		.sort()
		.map(([name, histogram]) => histogramRow(escaped(name), histogram))
		.join('')

const recoveryRows = (outcome: Outcome): string =>
	outcome.recoveries
		.map(({ kind, atS, after }) => {
			const seconds = Object.values(after).map((time) => (time === null ? 'never' : time.toFixed(1)))
			return row(`${kind} at ${atS} s`, seconds)
		})
		.join('')

const violationsText = ({ violations }: Outcome): string => {
	if (violations.length === 0) return 'no rule broken'
	return `${violations.length} broken: ${escaped(violations.slice(0, MAX_SHOWN).join('; '))}`
}

/** The column of one build; `index`: its place among the columns. */
const outcomeSection = (outcome: Outcome, index: number): string => {
	const { build, jobs, ends } = outcome
	const plots = plotsOf(outcome)
		.map((plot, plotIndex) => `<h3>${plot.title}</h3><div id="p${index}-${plotIndex}"></div>`)
		.join('')
	const kindHeads = kindsOf(outcome)
		.map((kind) => `<th>${kind}</th>`)
		.join('')
	return `<section><h2>${escaped(build.main)}</h2>
<p>${jobs.accepted} jobs accepted, ${jobs.over} known to be over; ${violationsText(outcome)}; ${ends.length} controllers ended by themselves.</p>
<table><tr><th>ms</th><th>n</th><th>p50</th><th>p90</th><th>p99</th><th>most</th></tr>${latencyRows(outcome)}</table>
<table><tr><th>ms from acceptance until known to be over</th><th>n</th><th>p50</th><th>p90</th><th>p99</th><th>most</th></tr>${classRows(outcome)}</table>
<table><tr><th>s until answered again</th>${kindHeads}</tr>${recoveryRows(outcome)}</table>
${plots}</section>`
}

/** The page; several builds stand side by side. */
export const htmlReport = (experiment: Experiment, outcomes: readonly Outcome[]): string => {
	const { name, controllers, machines, history, state, seed } = experiment
	const require = createRequire(import.meta.url ?? `file://${__filename}`)
	const scriptPath = require.resolve('uplot/dist/uPlot.iife.min.js')
	const script = readFileSync(scriptPath, 'utf8')
	const style = readFileSync(scriptPath.replace('uPlot.iife.min.js', 'uPlot.min.css'), 'utf8')
	const columns = outcomes.map(outcomeSection).join('')
	const data = JSON.stringify(outcomes.map(plotsOf)).replace(/</g, '\\u003c')
	return `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escaped(name)}</title>
<style>${style}
body{font:14px sans-serif;margin:2em}main{display:flex;gap:3em}table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}td:first-child{text-align:left}</style>
<h1>${escaped(name)}</h1>
<p>Figures of stand-ins on one machine: ${controllers} controllers, ${machines} machines, ${history} finished jobs before, ${state.rps} requests and ${state.writeRps} changes a second, seed ${seed}.</p>
<main>${columns}</main>
<script>${script}</script><script>
const colours=${JSON.stringify(COLOURS)};
${data}.forEach((plots,i)=>plots.forEach((p,j)=>new uPlot({width:560,height:200,scales:{x:{time:false}},series:[{label:'s'},...p.names.map((label,n)=>({label,stroke:colours[n%colours.length]}))]},p.data,document.getElementById('p'+i+'-'+j))));
</script></html>`
}

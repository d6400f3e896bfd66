/** Formats an experiment's results as a self-contained HTML page. */
import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import type { Histogram } from 'hdr-histogram-js'
import type { Experiment } from './experiment.js'
import type { ExperimentResult, RequestKind } from './experiment-run.js'

const COLOURS = ['#1b6ca8', '#c0392b', '#2e8b57', '#b8860b', '#6a4c93']
/** Percentiles in each table; the last one is the maximum. */
const PERCENTILES = [50, 90, 99, 100]
/** Maximum number of violations on the page. */
const MAX_SHOWN_VIOLATIONS = 5

/** A plot over time. */
interface Plot {
	title: string
	/** the times in seconds, then the values of each series */
	data: (number | null)[][]
	/** names of the series */
	names: string[]
}

const ENTITIES: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }
const escaped = (text: string): string => text.replace(/[&<>"]/g, (character) => ENTITIES[character])

const kindsOf = (result: ExperimentResult): RequestKind[] => Object.keys(result.latencies) as RequestKind[]

const plotsOf = (result: ExperimentResult): Plot[] => {
	const { seconds } = result
	const atS = seconds.map((second) => second.atS)
	const kinds = kindsOf(result)
	const controllers = seconds[0].memoryMb.map((_, index) => index)
	return [
		{
			title: 'answered requests a second',
			data: [atS, ...kinds.map((kind) => seconds.map((second) => second.answered[kind]))],
			names: kinds,
		},
		{
			title: 'failed requests a second',
			data: [atS, ...kinds.map((kind) => seconds.map((second) => second.failed[kind]))],
			names: kinds,
		},
		{
			title: 'memory of each controller, MB',
			data: [atS, ...controllers.map((index) => seconds.map((second) => second.memoryMb[index]))],
			names: controllers.map((index) => `controller ${index}`),
		},
		{
			title: 'requests to the state service, and changes, a second',
			data: [
				atS,
				seconds.map((second) => second.requests),
				seconds.map((second) => second.refused),
				seconds.map((second) => second.changes),
			],
			names: ['requests', 'rejected requests', 'changes'],
		},
		{
			title: 'keys that controllers watch',
			data: [atS, seconds.map((second) => second.keys)],
			names: ['keys'],
		},
	]
}

/** Formats a table row; neither its title nor its cells are escaped. */
const row = (title: string, cells: readonly (string | number)[]): string =>
	`<tr><td>${title}</td>${cells.map((cell) => `<td>${cell}</td>`).join('')}</tr>`

const histogramRow = (title: string, histogram: Histogram): string => {
	const percentiles = PERCENTILES.map((point) => histogram.getValueAtPercentile(point))
	return row(title, [histogram.totalCount, ...percentiles])
}

const latencyRows = (result: ExperimentResult): string =>
	kindsOf(result)
		.map((kind) => histogramRow(kind, result.latencies[kind]))
		.join('')

const classRows = (result: ExperimentResult): string =>
	Object.entries(result.classes)
		.sort()
		.map(([name, histogram]) => histogramRow(escaped(name), histogram))
		.join('')

const recoveryRows = (result: ExperimentResult): string =>
	result.recoveries
		.map(({ kind, atS, after }) => {
			const seconds = Object.values(after).map((time) => (time === null ? 'never' : time.toFixed(1)))
			return row(`${kind} at ${atS} s`, seconds)
		})
		.join('')

const violationsText = ({ violations }: ExperimentResult): string => {
	if (violations.length === 0) return 'no violations'
	return `${violations.length} violations: ${escaped(violations.slice(0, MAX_SHOWN_VIOLATIONS).join('; '))}`
}

/** Formats the column of one build; `index`: position of the column. */
const resultSection = (result: ExperimentResult, index: number): string => {
	const { build, jobs, unexpectedExits } = result
	const plots = plotsOf(result)
		.map((plot, plotIndex) => `<h3>${plot.title}</h3><div id="p${index}-${plotIndex}"></div>`)
		.join('')
	const kindHeads = kindsOf(result)
		.map((kind) => `<th>${kind}</th>`)
		.join('')
	return `<section><h2>${escaped(build.main)}</h2>
<p>${jobs.accepted} jobs accepted, ${jobs.finished} observed as finished; ${violationsText(result)}; ${unexpectedExits.length} unexpected exits of controllers.</p>
<table><tr><th>ms</th><th>n</th><th>p50</th><th>p90</th><th>p99</th><th>most</th></tr>${latencyRows(result)}</table>
<table><tr><th>ms from acceptance until observed as done</th><th>n</th><th>p50</th><th>p90</th><th>p99</th><th>most</th></tr>${classRows(result)}</table>
<table><tr><th>s from a fault until requests are answered</th>${kindHeads}</tr>${recoveryRows(result)}</table>
${plots}</section>`
}

/** Returns the page, with one column for each build. */
export const createHtmlReport = (experiment: Experiment, results: readonly ExperimentResult[]): string => {
	const { name, controllers, machines, history, state, seed } = experiment
	const require = createRequire(import.meta.url ?? `file://${__filename}`)
	const scriptPath = require.resolve('uplot/dist/uPlot.iife.min.js')
	const script = readFileSync(scriptPath, 'utf8')
	const style = readFileSync(scriptPath.replace('uPlot.iife.min.js', 'uPlot.min.css'), 'utf8')
	const columns = results.map(resultSection).join('')
	const data = JSON.stringify(results.map(plotsOf)).replace(/</g, '\\u003c')
	return `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escaped(name)}</title>
<style>${style}
body{font:14px sans-serif;margin:2em}main{display:flex;gap:3em}table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}td:first-child{text-align:left}</style>
<h1>${escaped(name)}</h1>
<p>Measured with fake services on one machine: ${controllers} controllers, ${machines} machines, ${history} archived jobs at the start, ${state.rps} requests and ${state.writeRps} changes a second, seed ${seed}.</p>
<main>${columns}</main>
<script>${script}</script><script>
const colours=${JSON.stringify(COLOURS)};
${data}.forEach((plots,i)=>plots.forEach((p,j)=>new uPlot({width:560,height:200,scales:{x:{time:false}},series:[{label:'s'},...p.names.map((label,n)=>({label,stroke:colours[n%colours.length]}))]},p.data,document.getElementById('p'+i+'-'+j))));
</script></html>`
}

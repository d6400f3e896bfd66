import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import type { Experiment } from './experiment.js'
import type { Kind, Outcome } from './run.js'

const escaped = (text: string): string =>
	text.replace(/[&<>"]/g, (c) => ({ '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' })[c]!)

interface Plot {
	title: string
	/** seconds, then one list a series */
	data: (number | null)[][]
	names: string[]
}

const plotsOf = (o: Outcome): Plot[] => {
	const at = o.seconds.map((s) => s.atS)
	const kinds = Object.keys(o.latencies) as Kind[]
	return [
		{
			title: 'answered a second',
			data: [at, ...kinds.map((k) => o.seconds.map((s) => s.answered[k]))],
			names: kinds,
		},
		{
			title: 'refused or unanswered a second',
			data: [at, ...kinds.map((k) => o.seconds.map((s) => s.failed[k]))],
			names: kinds,
		},
		{
			title: 'memory of each controller, MB',
			data: [at, ...o.seconds[0].memoryMb.map((_, i) => o.seconds.map((s) => s.memoryMb[i]))],
			names: o.seconds[0].memoryMb.map((_, i) => `controller ${i}`),
		},
		{
			title: 'requests and changes of the state a second',
			data: [
				at,
				o.seconds.map((s) => s.requests),
				o.seconds.map((s) => s.refused),
				o.seconds.map((s) => s.changes),
			],
			names: ['requests', 'of them refused', 'changes'],
		},
		{ title: 'keys that controllers follow', data: [at, o.seconds.map((s) => s.keys)], names: ['keys'] },
	]
}

const COLOURS = ['#1b6ca8', '#c0392b', '#2e8b57', '#b8860b', '#6a4c93']

const percentiles = (o: Outcome): string =>
	(Object.keys(o.latencies) as Kind[])
		.map((k) => {
			const h = o.latencies[k]
			const cells = [h.totalCount, ...[50, 90, 99, 100].map((p) => h.getValueAtPercentile(p))]
			return `<tr><td>${k}</td>${cells.map((c) => `<td>${c}</td>`).join('')}</tr>`
		})
		.join('')

const byClass = (o: Outcome): string =>
	Object.entries(o.classes)
		.sort()
		.map(([name, h]) => {
			const cells = [h.totalCount, ...[50, 90, 99, 100].map((p) => h.getValueAtPercentile(p))]
			return `<tr><td>${escaped(name)}</td>${cells.map((c) => `<td>${c}</td>`).join('')}</tr>`
		})
		.join('')

const recovery = (o: Outcome): string =>
	o.again
		.map((a) => {
			const cells = Object.values(a.after).map((s) => (s === null ? 'never' : s.toFixed(1)))
			return `<tr><td>${a.kind} at ${a.atS} s</td>${cells.map((c) => `<td>${c}</td>`).join('')}</tr>`
		})
		.join('')

/** One page that needs nothing beside itself; several builds stand side by side. */
export const htmlReport = (e: Experiment, outcomes: readonly Outcome[]): string => {
	const require = createRequire(import.meta.url ?? `file://${__filename}`)
	const dir = require.resolve('uplot/dist/uPlot.iife.min.js')
	const script = readFileSync(dir, 'utf8')
	const style = readFileSync(dir.replace('uPlot.iife.min.js', 'uPlot.min.css'), 'utf8')
	const columns = outcomes
		.map((o, i) => {
			const plots = plotsOf(o)
				.map((p, j) => `<h3>${p.title}</h3><div id="p${i}-${j}"></div>`)
				.join('')
			const broken =
				o.broken.length === 0
					? 'no rule broken'
					: `${o.broken.length} broken: ${escaped(o.broken.slice(0, 5).join('; '))}`
			return `<section><h2>${escaped(o.build.main)}</h2>
<p>${o.jobs.accepted} jobs accepted, ${o.jobs.over} known to be over; ${broken}; ${o.ends.length} controllers ended by themselves.</p>
<table><tr><th>ms</th><th>n</th><th>p50</th><th>p90</th><th>p99</th><th>most</th></tr>${percentiles(o)}</table>
<table><tr><th>ms from acceptance until known to be over</th><th>n</th><th>p50</th><th>p90</th><th>p99</th><th>most</th></tr>${byClass(o)}</table>
<table><tr><th>s until answered again</th>${Object.keys(o.latencies)
				.map((k) => `<th>${k}</th>`)
				.join('')}</tr>${recovery(o)}</table>
${plots}</section>`
		})
		.join('')
	const data = JSON.stringify(outcomes.map(plotsOf)).replace(/</g, '\\u003c')
	return `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escaped(e.name)}</title>
<style>${style}
body{font:14px sans-serif;margin:2em}main{display:flex;gap:3em}table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}td:first-child{text-align:left}</style>
<h1>${escaped(e.name)}</h1>
<p>Figures of stand-ins on one machine: ${e.controllers} controllers, ${e.machines} machines, ${e.history} finished jobs before, ${e.state.rps} requests and ${e.state.writeRps} changes a second, seed ${e.seed}.</p>
<main>${columns}</main>
<script>${script}</script><script>
const colours=${JSON.stringify(COLOURS)};
${data}.forEach((plots,i)=>plots.forEach((p,j)=>new uPlot({width:560,height:200,scales:{x:{time:false}},series:[{label:'s'},...p.names.map((label,n)=>({label,stroke:colours[n%colours.length]}))]},p.data,document.getElementById('p'+i+'-'+j))));
</script></html>`
}

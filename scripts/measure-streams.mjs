// Measures streams over loopback against polling: npm run measure:streams [-- --jobs N]
import { parseArgs } from 'node:util'
import { build } from 'esbuild'
import { shared } from './bundle.mjs'

const { values } = parseArgs({ options: { jobs: { type: 'string', default: '200' } } })
await build({
	...shared,
	entryPoints: { measure: 'packages/testkit/src/stream-measurement.ts' },
	outdir: 'target',
})
const { measureStreams } = await import(new URL('../target/measure.cjs', import.meta.url).href)
const jobs = Number(values.jobs)
process.stdout.write(
	'streams stalled  events  streamed p50/p90/p99 ms  polled p50/p90 ms  cpu/event us  held ms\n',
)
for (const [streams, stalled] of [
	[1, 0],
	[100, 0],
	[100, 1],
	[500, 0],
]) {
	const m = await measureStreams(streams, stalled, jobs, streams === 1 ? 40 : 0)
	const at = (h, ...ps) => ps.map((p) => h.getValueAtPercentile(p)).join('/')
	const polled = m.polled.totalCount > 0 ? at(m.polled, 50, 90) : '-'
	process.stdout.write(
		`${String(streams).padStart(7)} ${String(stalled).padStart(7)} ${String(m.events).padStart(7)}  ${at(m.streamed, 50, 90, 99).padStart(23)}  ${polled.padStart(17)}  ${m.cpuPerEventUs.toFixed(0).padStart(12)}  ${m.heldMs.toFixed(0).padStart(7)}\n`,
	)
}
process.exit(0)

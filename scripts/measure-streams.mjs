// Compares the latency of event streams over loopback with that of polling: npm run measure:streams [-- --jobs N]
import { parseArgs } from 'node:util'
import { build } from 'esbuild'
import { shared } from './bundle.mjs'

const { values } = parseArgs({ options: { jobs: { type: 'string', default: '200' } } })
await build({
	...shared,
	entryPoints: { 'stream-measurement': 'packages/testkit/src/stream-measurement.ts' },
	outdir: 'target',
})
const { measureStreams } = await import(new URL('../target/stream-measurement.cjs', import.meta.url).href)
const jobs = Number(values.jobs)
/** Number of streams in each measurement, and of those that stall. */
const MEASUREMENTS = [
	{ streams: 1, stalled: 0 },
	{ streams: 100, stalled: 0 },
	{ streams: 100, stalled: 1 },
	{ streams: 500, stalled: 0 },
]
/** Number of polling users in the measurement with a single stream. */
const POLLERS = 40
const percentiles = (histogram, ...points) =>
	points.map((point) => histogram.getValueAtPercentile(point)).join('/')

process.stdout.write(
	'streams stalled  events  streamed p50/p90/p99 ms  polled p50/p90 ms  cpu/event us  held ms\n',
)
for (const { streams, stalled } of MEASUREMENTS) {
	const measured = await measureStreams({ streams, stalled, jobs, pollers: streams === 1 ? POLLERS : 0 })
	const { events, streamed, polled, cpuPerEventUs, maxLoopDelayMs } = measured
	const counts = [streams, stalled, events].map((count) => String(count).padStart(7)).join(' ')
	const columns = [
		counts,
		percentiles(streamed, 50, 90, 99).padStart(23),
		(polled.totalCount > 0 ? percentiles(polled, 50, 90) : '-').padStart(17),
		cpuPerEventUs.toFixed(0).padStart(12),
		maxLoopDelayMs.toFixed(0).padStart(7),
	]
	process.stdout.write(`${columns.join('  ')}\n`)
}
process.exit(0)

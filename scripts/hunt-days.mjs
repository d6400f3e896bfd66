// Runs simulated days with random faults in virtual time:
//   npm run hunt:days [-- --from N --to N --lanes N --count EVENT --kind any|plugins|gap|meetings|migration]
// Prints the seeds of days on which a rule was broken or a job never finished, and exits 1 if there are any. A seed
// reproduces its day. --lanes: number of days that run at a time; --count: log events to count.
import { availableParallelism } from 'node:os'
import { parseArgs } from 'node:util'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'

/** A day takes a second or two; one that takes this long is considered hung. */
const DAY_TIMEOUT_S = 60
/** Maximum number of broken rules that are printed for each day. */
const MAX_PRINTED_VIOLATIONS = 3

/** In a worker thread: runs the day of each seed that it receives. */
const serveDays = async () => {
	const { checkRandomDay } = await import(new URL('../target/random-day-runner.cjs', import.meta.url).href)
	parentPort.on('message', async (seed) =>
		parentPort.postMessage(await checkRandomDay(seed, workerData.countedEvents, workerData.kind)),
	)
}

const parseOptions = () => {
	const { values } = parseArgs({
		options: {
			from: { type: 'string', default: '1' },
			to: { type: 'string', default: '80' },
			kind: { type: 'string', default: 'any' },
			lanes: { type: 'string', default: String(availableParallelism()) },
			count: { type: 'string', multiple: true, default: ['job migrating'] },
		},
	})
	return {
		from: Number(values.from),
		to: Number(values.to),
		lanes: Number(values.lanes),
		kind: values.kind,
		countedEvents: values.count,
	}
}

/** Runs a day in a worker thread; null: it did not end in time. */
const runDay = (worker, seed) =>
	new Promise((resolve, reject) => {
		const timer = setTimeout(() => resolve(null), DAY_TIMEOUT_S * 1000)
		worker.once('error', reject)
		worker.once('message', (day) => {
			clearTimeout(timer)
			worker.off('error', reject)
			resolve(day)
		})
		worker.postMessage(seed)
	})

/** Runs all days, several at a time; prints the problems of each, and returns totals. */
const runDays = async ({ from, to, lanes, kind, countedEvents }) => {
	const totals = { days: 0, started: 0, wrong: 0, events: {} }
	const report = (seed, problem) => {
		totals.wrong++
		process.stdout.write(`seed ${seed}: ${problem}\n`)
	}
	const createWorker = () => new Worker(new URL(import.meta.url), { workerData: { countedEvents, kind } })
	const addDay = (seed, { started, eventCounts, violations, unfinished }) => {
		totals.started += started
		for (const [event, count] of Object.entries(eventCounts))
			totals.events[event] = (totals.events[event] ?? 0) + count
		const problems = [
			...violations.slice(0, MAX_PRINTED_VIOLATIONS),
			...unfinished.map((uid) => `${uid} never finished`),
		]
		if (problems.length > 0) report(seed, problems.join('; '))
	}
	let next = from
	const lane = async () => {
		let worker = createWorker()
		while (next <= to) {
			const seed = next++
			const day = await runDay(worker, seed)
			totals.days++
			if (day !== null) {
				addDay(seed, day)
				continue
			}
			report(seed, `the day did not end within ${DAY_TIMEOUT_S} s`)
			await worker.terminate()
			worker = createWorker()
		}
		await worker.terminate()
	}
	await Promise.all(Array.from({ length: lanes }, lane))
	return totals
}

const main = async () => {
	const { build } = await import('esbuild')
	const { shared } = await import('./bundle.mjs')
	const options = parseOptions()
	const entryPoints = { 'random-day-runner': 'packages/testkit/src/random-day-runner.ts' }
	await build({ ...shared, entryPoints, outdir: 'target' })
	const { days, started, wrong, events } = await runDays(options)
	process.stdout.write(`${days} days, ${started} tasks started, ${wrong} days with something wrong\n`)
	for (const [event, count] of Object.entries(events)) process.stdout.write(`${event}: ${count}\n`)
	process.exit(wrong > 0 ? 1 : 0)
}

await (isMainThread ? main() : serveDays())

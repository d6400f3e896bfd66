// Plays days of random faults in virtual time:
//   npm run hunt:days [-- --from N --to N --lanes N --count EVENT --kind any|plugins|gap|meetings|migration]
// Exits 1 if a rule was broken or a job never ended, and prints the seed, which gives the same day again.
import { availableParallelism } from 'node:os'
import { parseArgs } from 'node:util'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'

/** A day takes a second or two; one that takes so long does not end. */
const DAY_LIMIT_S = 60
/** So many broken rules of a day are printed at the most. */
const MAX_PRINTED = 3

/** In a worker: plays the day of each seed that arrives. */
const servePlayedDays = async () => {
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

/** Plays a day in a worker; null: it did not end in time. */
const playDay = (worker, seed) =>
	new Promise((resolve, reject) => {
		const timer = setTimeout(() => resolve(null), DAY_LIMIT_S * 1000)
		worker.once('error', reject)
		worker.once('message', (day) => {
			clearTimeout(timer)
			worker.off('error', reject)
			resolve(day)
		})
		worker.postMessage(seed)
	})

/** Plays all the days, several at a time; prints what is wrong, and returns sums. */
const playDays = async ({ from, to, lanes, kind, countedEvents }) => {
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
		const problems = [...violations.slice(0, MAX_PRINTED), ...unfinished.map((uid) => `${uid} never ended`)]
		if (problems.length > 0) report(seed, problems.join('; '))
	}
	let next = from
	const lane = async () => {
		let worker = createWorker()
		while (next <= to) {
			const seed = next++
			const day = await playDay(worker, seed)
			totals.days++
			if (day !== null) {
				addDay(seed, day)
				continue
			}
			report(seed, `the day did not end within ${DAY_LIMIT_S} s`)
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
	const { days, started, wrong, events } = await playDays(options)
	process.stdout.write(`${days} days, ${started} tasks started, ${wrong} days with something wrong\n`)
	for (const [event, count] of Object.entries(events)) process.stdout.write(`${event}: ${count}\n`)
	process.exit(wrong > 0 ? 1 : 0)
}

await (isMainThread ? main() : servePlayedDays())

// Plays days of random troubles in virtual time: npm run hunt:days [-- --from N --to N --lanes N --count EVENT --kind any|plugins|gap|meetings]
// Exits 1 if a rule was broken or a job never ended, and prints the seed, which gives the same day again.
import { availableParallelism } from 'node:os'
import { parseArgs } from 'node:util'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'

/** A day takes a second or two; one that takes so long goes round in circles. */
const MOST_S = 60

if (!isMainThread) {
	const { checkRandomDay } = await import(new URL('../target/hunt.cjs', import.meta.url).href)
	parentPort.on('message', async (seed) =>
		parentPort.postMessage(await checkRandomDay(seed, workerData.count, workerData.kind)),
	)
} else {
	const { build } = await import('esbuild')
	const { shared } = await import('./bundle.mjs')
	const { values } = parseArgs({
		options: {
			from: { type: 'string', default: '1' },
			to: { type: 'string', default: '80' },
			kind: { type: 'string', default: 'any' },
			lanes: { type: 'string', default: String(availableParallelism()) },
			count: { type: 'string', multiple: true, default: ['job migrating'] },
		},
	})
	await build({
		...shared,
		entryPoints: { hunt: 'packages/testkit/src/random-day-runner.ts' },
		outdir: 'target',
	})
	const sum = { days: 0, started: 0, wrong: 0, said: {} }
	let next = Number(values.from)
	const say = (seed, what) => {
		sum.wrong++
		process.stdout.write(`seed ${seed}: ${what}\n`)
	}
	const start = () =>
		new Worker(new URL(import.meta.url), { workerData: { count: values.count, kind: values.kind } })
	const play = (worker, seed) =>
		new Promise((done, failed) => {
			const late = setTimeout(() => done(null), MOST_S * 1000)
			worker.once('error', failed)
			worker.once('message', (day) => {
				clearTimeout(late)
				worker.off('error', failed)
				done(day)
			})
			worker.postMessage(seed)
		})
	const lane = async () => {
		let worker = start()
		while (next <= Number(values.to)) {
			const seed = next++
			const day = await play(worker, seed)
			sum.days++
			if (day === null) {
				say(seed, `the day did not end within ${MOST_S} s`)
				await worker.terminate()
				worker = start()
				continue
			}
			sum.started += day.started
			for (const [event, n] of Object.entries(day.said)) sum.said[event] = (sum.said[event] ?? 0) + n
			const wrong = [...day.broken.slice(0, 3), ...day.unfinished.map((uid) => `${uid} never ended`)]
			if (wrong.length > 0) say(seed, wrong.join('; '))
		}
		await worker.terminate()
	}
	await Promise.all(Array.from({ length: Number(values.lanes) }, lane))
	process.stdout.write(
		`${sum.days} days, ${sum.started} tasks started, ${sum.wrong} days with something wrong\n`,
	)
	for (const [event, n] of Object.entries(sum.said)) process.stdout.write(`${event}: ${n}\n`)
	process.exit(sum.wrong > 0 ? 1 : 0)
}

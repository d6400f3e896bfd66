// Small jobs that wait change hands and their users call them off in the same seconds: each job may get one end only.
import { fileURLToPath } from 'node:url'
import { sleep } from '../lib-2/net.mjs'
import { daugava } from '../lib-2/sites.mjs'
import { runCase } from '../lib-2/world.mjs'

/** The site's state service usually answers after 4 ms; here it takes about half as long. */
const USUAL_MS = 2
/** A slow state service: 15 times slower, and one answer in twenty 25 times slower still (a recorded day). */
const SLOW_MS = 15 * USUAL_MS
const slowAnswer = () => (Math.random() < 0.05 ? 25 * SLOW_MS : SLOW_MS)
const SMALL_JOBS = 30
/** When the cancellations come in each round, after the first of the small jobs was started. */
const SHIFTS_MS = [0, 150, 300, 0, 150, 300]
const LAST_ROUND_S = 72

const [smallRack] = daugava.types
const site = { ...daugava, types: [smallRack] }

await runCase(site, fileURLToPath(new URL('.', import.meta.url)), async (world) => {
	const { fleet, nodes, state } = world
	state.latencyMs = USUAL_MS
	// The cloud has three machines, one for each long job.
	let left = 3
	fleet.capacity = (_flavour, zone, reclaimable) => (zone === site.zones[0] && reclaimable ? left : 0)
	fleet.bootMs = () => 1000
	const startedBy = new Map()
	fleet.onStart = ({ worker, uid, piece, origin }) => {
		startedBy.set(uid, origin.by)
		world.note('start', { piece, host: worker.id, by: origin.by })
	}
	fleet.onDone = (task) => world.note('task completed', { piece: task.piece })
	let lastId = 100
	const newJob = (fields) =>
		world.job(`job-${String(++lastId).padStart(6, '0')}`, { imageGb: 0.1, ...fields })
	/** Submits a job that fills one machine, and waits until it runs. */
	const submitLong = async (expectedS, at) => {
		const job = newJob({ pieces: 2, cpus: 4, ramGb: 8.8, expectedS, runMs: 200_000 })
		if (!(await world.submit(job, at))) return null
		const until = world.nowS + 20
		while (!startedBy.has(job.uid) && world.nowS < until) await sleep(50)
		return startedBy.has(job.uid) ? job : null
	}
	const finals = new Map()
	const see = (uid, at, status) => {
		if (status !== 'done' && status !== 'aborted') return
		finals.set(uid, [...(finals.get(uid) ?? []), { at, status }])
	}
	const poll = async (uid, node) => {
		const answer = await world.poll(uid, node)
		if (answer?.status === 200) see(uid, node.name, answer.body.status)
	}

	await world.healthy()
	const longX = await submitLong(40, 0)
	let longY = await submitLong(100, 1)
	const longZ = await submitLong(100, 2)
	if (longX === null || longY === null || longZ === null) return null
	left = 0
	const [nodeX, nodeY, nodeZ] = [longX, longY, longZ].map(({ uid }) =>
		nodes.find(({ name }) => name === startedBy.get(uid)),
	)
	world.note('leaders of the long jobs', { x: nodeX.name, y: nodeY.name, z: nodeZ.name })
	if (new Set([nodeX, nodeY, nodeZ]).size !== 3) return null

	const round = async (shiftMs) => {
		// Small jobs that have to wait; the shortest queue is that of the first long job.
		const small = []
		for (let index = 0; index < SMALL_JOBS; index++) {
			const job = newJob({ cpus: 2, ramGb: 4, expectedS: 1, runMs: 200 })
			if (!(await world.submit(job, index))) return null
			small.push(job)
		}
		await sleep((site.workers.lease_s / 2 + 0.5) * 1000)
		const callOff = async () => {
			world.note('the small jobs are called off')
			await Promise.all(
				small.map(async ({ uid }) => see(uid, nodeZ.name, await world.cancel(uid, [nodeZ], 20))),
			)
		}
		if (world.trouble) {
			world.note('the state service answers slowly from now on', { ms: SLOW_MS, oneInTwenty: 25 * SLOW_MS })
			state.answerDelay = slowAnswer
		} else await callOff()
		// The second long job is called off: its machine is free, and waiting jobs change hands.
		const called = world.cancel(longY.uid, [nodeY], 15)
		if (world.trouble) {
			const until = world.nowS + 12
			while (!small.some(({ uid }) => startedBy.has(uid)) && world.nowS < until) await sleep(10)
			await sleep(shiftMs)
			await callOff()
			world.note('the state service answers as usual again')
			state.answerDelay = () => 0
		} else await sleep(3000)
		await called
		await sleep(1500)
		for (const node of nodes) for (const { uid } of small) await poll(uid, node)
		const two = small.filter(({ uid }) => new Set((finals.get(uid) ?? []).map(({ status }) => status)).size > 1)
		for (const { uid } of two)
			world.note('two ends', { uid, seen: finals.get(uid).map(({ at, status }) => `${at}: ${status}`) })
		return two.length === 0
	}

	for (const [index, shiftMs] of SHIFTS_MS.entries()) {
		const held = await round(shiftMs)
		if (held !== true) return held
		if (index + 1 === SHIFTS_MS.length || world.nowS > LAST_ROUND_S) break
		left = 3
		longY = await submitLong(100, index)
		left = 0
		if (longY === null || startedBy.get(longY.uid) !== nodeY.name) {
			world.note('no further round: the long job came to another node')
			break
		}
	}
	return true
})

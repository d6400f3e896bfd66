// One-task jobs of a team whose name has letters beyond ASCII come four a second: their ends must still be recorded.
import { fileURLToPath } from 'node:url'
import { sleep } from '../lib-2/net.mjs'
import { szalkabel } from '../lib-2/sites.mjs'
import { runCase } from '../lib-2/world.mjs'

const TEAM = 'szálkábel'
const BURST_S = 55
/** The page: from 3 s after its last task a job is called done. A job counts here only after ten times that. */
const LATE_S = 30

const site = { ...szalkabel, teams: [{ name: TEAM, cpus: 0, cpus_max: 48, gpus: 0, gpus_max: 0 }] }

await runCase(site, fileURLToPath(new URL('.', import.meta.url)), async (world) => {
	const { fleet, nodes, state } = world
	fleet.capacity = (_flavour, zone, reclaimable) => (reclaimable ? 20 : zone === 'budapest-a' ? 4 : 2)
	fleet.bootMs = () => 1500
	const endedS = new Map()
	const calledS = new Map()
	fleet.onDone = (task) => {
		world.note('task completed', { piece: task.piece })
		endedS.set(task.uid, world.nowS)
	}
	state.onBadRequest = (node, why) => world.note('state service', { at: node, status: 400, why })
	await world.healthy()
	// Every job is polled every 5 s until it is called done.
	let over = false
	const follow = async (job, index) => {
		if (!(await world.submit(job, index))) return world.note('never accepted', { uid: job.uid })
		while (!over && !calledS.has(job.uid)) {
			await sleep(5000)
			const answer = await world.poll(job.uid, nodes[index % nodes.length])
			if (answer?.status === 200 && answer.body.status === 'done') calledS.set(job.uid, world.nowS)
		}
	}
	// The trouble: four a second; without it one in four seconds.
	const gapMs = world.trouble ? 250 : 4000
	let count = 0
	for (const startS = world.nowS; world.nowS < startS + BURST_S; ) {
		const uid = `job-${String(500 + count).padStart(6, '0')}`
		const job = world.job(uid, { jobclass: 'slot-assign', cpus: 2, ramGb: 7.2, imageGb: 0.3, expectedS: 18, runMs: 1500 })
		void follow(job, count++)
		await sleep(gapMs)
	}
	world.note('no further jobs', { jobs: count })
	await sleep(LATE_S * 1000 + 8000)
	over = true
	await sleep(2500)
	const late = [...endedS].filter(([uid, endS]) => !calledS.has(uid) && world.nowS - endS > LATE_S)
	world.note('jobs', { submitted: count, tasksCompleted: endedS.size, calledDone: calledS.size, late: late.length })
	for (const [uid, endS] of late) world.note('not called done', { uid, afterS: (world.nowS - endS).toFixed(1) })
	return late.length === 0
})

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Hub, type JobEvent, type Selection, type Subscription } from '@heathroad/events'
import { ServiceRecords } from '@heathroad/grpc'
import type { Service } from '@heathroad/server'
import { arrayJob, type Fault, Simulation } from '@heathroad/testkit'

const EVERY_MS = 500

/** A controller's streams as its face for gRPC runs them, without the network. */
class Streams {
	readonly records: ServiceRecords
	hub: Hub | null = null
	over = false

	constructor(
		readonly node: Service,
		world: Simulation,
		i: number,
	) {
		this.records = new ServiceRecords(node, 1000)
		const look = () => {
			if (this.over) return
			const id = this.records.installation()
			if (id === null) this.records.nameInstallation(`by ${i}`)
			else if (this.hub === null) {
				this.hub = new Hub(this.records, id, EVERY_MS, node.now)
				this.records.hub = this.hub
			}
			if (!node.isHealthy()) this.hub?.endAll('not serving')
			this.hub?.look()
			world.clock.after(EVERY_MS, look, i)
		}
		world.clock.after(EVERY_MS, look, i)
	}
}

test('fifty streams over days of crashes, outages and cuts: what they tell keeps the rules', async () => {
	const days: { name: string; troubles: Fault[]; seed: number }[] = [
		{
			name: 'one, two and all controllers crash',
			seed: 51,
			troubles: [
				{ atS: 22, kind: 'crash', who: [0] },
				{ atS: 45, kind: 'crash', who: [1, 2] },
				{ atS: 70, kind: 'crash', who: [0, 1, 2] },
			],
		},
		{
			name: 'the state is down, a controller is cut from it, another stands still',
			seed: 52,
			troubles: [
				{ atS: 25, kind: 'stateDown', forS: 12 },
				{ atS: 55, kind: 'cut', who: [1], from: 'state', forS: 20 },
				{ atS: 85, kind: 'freeze', who: [2], forS: 12 },
				{ atS: 100, kind: 'crash', who: [0] },
			],
		},
	]
	for (const { name, troubles, seed } of days) {
		const jobs = Array.from({ length: 24 }, (_, i) => ({
			atS: 1 + i * 4,
			spec: arrayJob(`job-0007${String(i).padStart(2, '0')}`, { tasks: 3 + (i % 9), expectedS: 6 }),
			...(i % 8 === 7 ? { cancelAtS: 12 + i * 4 } : {}),
		}))
		const world = new Simulation({ seed, untilS: 300, jobs, faults: troubles, loss: 0.01 })
		const nodes: (Streams | null)[] = [null, null, null]
		world.started = (i, node) => {
			nodes[i] = new Streams(node, world, i)
		}
		world.ended = (i) => {
			if (nodes[i] !== null) nodes[i].over = true
			nodes[i] = null
		}
		const wrong: string[] = []
		const uids = jobs.map((j) => j.spec.uid)
		let reconnects = 0
		const readers = Array.from({ length: 50 }, (_, n) => {
			const selection: Selection = n % 2 === 0 ? { team: 'core' } : { uids }
			const finals = new Map<string, string>()
			const done = new Map<string, number>()
			let cursor = ''
			let at: Streams | null = null
			let sub: Subscription | null = null
			let asking = false
			const hear = (e: JobEvent) => {
				const known = world.invariants.state(e.uid)
				const status = e.state === 'cancelled' ? 'aborted' : e.state
				if (finals.has(e.uid)) wrong.push(`${n}: ${e.uid} told ${e.state} after ${finals.get(e.uid)}`)
				if (e.done < (done.get(e.uid) ?? 0)) wrong.push(`${n}: ${e.uid} went back to ${e.done}`)
				done.set(e.uid, e.done)
				if (status === 'done' || status === 'aborted') {
					finals.set(e.uid, e.state)
					// A state that is not final may be told a moment after another user heard the end; a final one never differs.
					world.invariants.told(e.uid, 200, status, known)
				}
				cursor = e.cursor
			}
			const begin = () => {
				const some = nodes[Math.floor(world.clock.random() * 3)]
				if (some === null || some.hub === null || !some.node.isHealthy()) return
				asking = true
				some.node.afterLinearizableRead((ok) => {
					asking = false
					if (!ok || some.over || some.hub === null) return
					reconnects++
					const begun = some.hub.subscribe(selection, cursor, { wake: () => {}, ended: () => {} })
					if (typeof begun === 'string') wrong.push(`${n}: ${begun}`)
					else [at, sub] = [some, begun]
				})
			}
			const step = () => {
				if (at?.over === true) sub = null
				if (sub?.ended) sub = null
				// Streams die at any moment besides.
				if (sub !== null && world.clock.random() < 0.02) {
					sub.end(null)
					sub = null
				}
				if (sub === null && !asking) begin()
				for (let k = 0; sub !== null && k < 5; k++) {
					const e: JobEvent | null = sub.next()
					if (e === null) break
					hear(e)
				}
				world.clock.after(world.clock.between(100, 600), step, null)
			}
			world.clock.after(3000, step, null)
			return { n, finals, selection }
		})
		await world.play()
		assert.deepEqual(world.invariants.violations, [], name)
		assert.deepEqual(world.invariants.unfinished(), [], name)
		assert.deepEqual(wrong.slice(0, 5), [], name)
		assert.ok(reconnects > 500, `${reconnects} streams`)
		// A team's stream begins with what is not over; the first job may have ended before a reader began.
		for (const { n, finals, selection } of readers)
			for (const uid of uids)
				if ('uids' in selection || uid !== uids[0])
					assert.ok(finals.has(uid), `${name}: ${n} never heard of ${uid}`)
	}
})

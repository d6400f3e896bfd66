// Stand-ins of the cloud and of the workers, as in the protocol.
import { call, int, serve, sleep } from './net.mjs'

const CHANGE_MS = 500
const ANSWER_MS = 4000
const RETRY_MS = 1000
/** No request body may exceed this; sizes are counted in JSON. */
const MAX_BODY_BYTES = 64 * 1024

/** One machine with its worker. */
export class Worker {
	/** @param fleet the fleet that it belongs to; facts: {id, type, zone, spot} */
	constructor(fleet, facts) {
		Object.assign(this, facts)
		this.fleet = fleet
		this.tenure = 1
		this.counter = 0
		this.fence = 0
		this.tasks = new Map()
		this.finished = new Set()
		this.images = new Set()
		this.node = Math.floor(Math.random() * fleet.nodes.length)
		this.gone = false
		this.warningAt = null
		/** reports and their answers are lost while true */
		this.cut = false
	}

	async boot() {
		this.server = await serve((request) => this.direct(request))
		this.leaseFrom = performance.now()
		this.lastSent = Number.NEGATIVE_INFINITY
		this.changed = true
		this.sending = false
		this.timer = setInterval(() => this.step(), 20)
		this.fleet.note('machine up', { host: this.id, type: this.type.label, site: this.zone, reclaimable: this.spot })
	}

	/** The machine is gone, with all that is on it. */
	stop(why) {
		if (this.gone) return
		this.gone = true
		clearInterval(this.timer)
		this.server?.close()
		for (const task of this.tasks.values()) this.leave(task)
		this.fleet.note('machine gone', { host: this.id, why })
	}

	get addr() {
		return `127.0.0.1:${this.server.port}`
	}

	report() {
		return {
			host: this.id,
			addr: this.addr,
			flavour: this.type.label,
			site: this.zone,
			reclaimable: this.spot,
			tenure: this.tenure,
			counter: ++this.counter,
			fence: int(this.fence),
			warningS: this.warningAt === null ? null : Math.max(0, (this.warningAt - performance.now()) / 1000),
			pieces: [...this.tasks.values()].map(({ piece, attempt, status, cause, stored }) => ({
				piece,
				try: int(attempt),
				status,
				...(cause ? { cause } : {}),
				...(stored ? { stored } : {}),
			})),
		}
	}

	direct({ path, body }) {
		if (this.gone || this.cut) return null
		if (path === '/inspect') return { status: 200, body: this.report() }
		if (path !== '/commands') return { status: 404 }
		if (body?.fence === undefined || body?.tenure === undefined) return { status: 400 }
		if (Number(body.fence) < this.fence || Number(body.tenure) !== this.tenure) return { status: 409, body: this.report() }
		this.see(Number(body.fence))
		this.execute(body.orders ?? [], { by: 'direct', sentAt: null })
		return { status: 200, body: this.report() }
	}

	see(fence) {
		if (fence <= this.fence) return
		this.fence = fence
		this.changed = true
	}

	step() {
		const now = performance.now()
		if (now - this.leaseFrom > this.fleet.workers.lease_s * 1000) {
			for (const task of this.tasks.values()) this.leave(task)
			if (this.tasks.size > 0) {
				this.fleet.note('lease over', { host: this.id, tasks: this.tasks.size })
				this.fleet.onLeaseOver(this, this.tasks.size)
			}
			this.tasks.clear()
			this.tenure++
			this.leaseFrom = now
			this.changed = true
		}
		if (this.sending) return
		const since = now - this.lastSent
		if (since >= this.interval || (this.changed && since >= CHANGE_MS)) void this.send()
	}

	get interval() {
		this.jitter ??= 0.75 + Math.random() * 0.5
		return this.fleet.workers.report_s * 1000 * this.jitter
	}

	async send() {
		this.sending = true
		this.changed = false
		this.jitter = undefined
		const sentAt = performance.now()
		this.lastSent = sentAt
		const { tenure } = this
		const node = this.fleet.nodes[this.node]
		const report = this.report()
		const length = Buffer.byteLength(JSON.stringify(report, (_, value) => (typeof value === 'bigint' ? String(value) : value)))
		if (length > MAX_BODY_BYTES) {
			// It may not be sent; the worker tries again a second later.
			this.fleet.onTooLong(this, length, report.pieces.length)
			this.sending = false
			this.lastSent = performance.now() + RETRY_MS - this.interval
			return
		}
		const answer = this.cut
			? await sleep(ANSWER_MS).then(() => null)
			: await call(node.port, 'POST', '/checkin', report, ANSWER_MS)
		this.sending = false
		if (this.gone) return
		if (answer?.status !== 200 || this.cut) {
			const named = this.fleet.nodes.findIndex(({ name }) => name === answer?.body?.overseer)
			if (answer?.status === 421 && named >= 0 && named !== this.node) {
				this.node = named
				this.lastSent = Number.NEGATIVE_INFINITY
			} else {
				this.node = (this.node + 1) % this.fleet.nodes.length
				this.lastSent = performance.now() + RETRY_MS - this.interval
				this.changed = false
			}
			return
		}
		const { fence, orders } = answer.body
		if (tenure !== this.tenure || fence === undefined || Number(fence) < this.fence) return
		this.see(Number(fence))
		this.leaseFrom = sentAt
		this.execute(orders ?? [], { by: node.name, sentAt })
	}

	execute(orders, origin) {
		for (const { verb, piece, try: attempt, windDownS } of orders) {
			const key = `${piece}#${attempt}`
			const task = this.tasks.get(key)
			if (verb === 'forget') {
				if (task?.status === 'ended') this.tasks.delete(key)
			} else if (verb === 'kill') {
				if (task !== undefined && task.status !== 'ended') this.kill(task, windDownS)
			} else if (verb === 'start' && task === undefined) this.start(key, piece, attempt, origin)
		}
	}

	kill(task, windDownS) {
		const { job } = task
		if (task.status === 'running' && job.snapshotEveryS > 0 && windDownS >= job.snapshotS) {
			task.status = 'flushing'
			clearTimeout(task.timer)
			task.timer = setTimeout(() => {
				task.stored = true
				this.end(task, 'halted')
			}, job.snapshotS * 1000)
			this.changed = true
		} else if (task.status !== 'flushing' || windDownS === 0) this.end(task, 'halted')
	}

	start(key, piece, attempt, origin) {
		const uid = piece.slice(0, piece.lastIndexOf('/'))
		const job = this.fleet.jobs.get(uid)
		const task = { piece, attempt, status: 'pulling', cause: null, job, uid }
		this.changed = true
		const active = [...this.tasks.values()].filter((other) => other.status !== 'ended')
		this.tasks.set(key, task)
		this.fleet.onStart({ worker: this, uid, piece, attempt, origin })
		const refuse = (cause) => Object.assign(task, { status: 'ended', cause })
		if (job === undefined || Number(piece.slice(piece.lastIndexOf('/') + 1)) >= job.pieces) return refuse('no_such')
		if (active.some((other) => other.piece === piece)) return refuse('in_use')
		for (const amount of ['cpus', 'gpus', 'ramGb']) {
			const used = active.reduce((sum, other) => sum + (other.job?.[amount] ?? 0), 0)
			if (used + job[amount] > this.type[amount] + 1e-6) return refuse('no_room')
		}
		const fetchMs = this.images.has(job.bundle) ? 0 : (job.imageGb / this.type.fetchGbPerS) * 1000
		task.timer = setTimeout(() => {
			this.images.add(job.bundle)
			task.status = 'running'
			this.changed = true
			task.onMachine = true
			this.fleet.onMachine(task, this, true)
			const runMs = this.finished.has(piece) ? 0 : this.fleet.runMs(piece, job)
			if (!Number.isFinite(runMs)) return
			task.timer = setTimeout(() => {
				this.finished.add(piece)
				this.end(task, 'done')
			}, runMs)
		}, fetchMs)
	}

	leave(task) {
		clearTimeout(task.timer)
		if (task.onMachine) this.fleet.onMachine(task, this, false)
		task.onMachine = false
	}

	end(task, cause) {
		this.leave(task)
		task.status = 'ended'
		task.cause = cause
		this.changed = true
		if (cause === 'done') this.fleet.onDone(task, this)
	}
}

/** The cloud and all machines. */
export class Fleet {
	/**
	 * @param nodes [{name, port}]; workers: as in the settings; types: the catalog's entries
	 * @param note records an event
	 */
	constructor({ nodes, workers, types, note }) {
		Object.assign(this, { nodes, workers, types, note })
		/** jobs as their users submitted them, by uid */
		this.jobs = new Map()
		this.machines = new Map()
		this.rentals = new Map()
		this.calls = []
		this.lastId = 0
		/** machines that can be had of an offer */
		this.capacity = () => 50
		/** time until a machine is up */
		this.bootMs = () => 1500
		this.runMs = (_piece, job) => (job.shape === 'daemon' ? Number.POSITIVE_INFINITY : (job.runMs ?? job.expectedS * 1000))
		this.onStart = () => {}
		this.onMachine = () => {}
		this.onDone = () => {}
		/** a report is longer than a request may be */
		this.onTooLong = () => {}
		/** a worker's lease ended with these tasks on it */
		this.onLeaseOver = () => {}
	}

	async open(rps) {
		this.rps = rps
		this.server = await serve((request) => this.answer(request))
		return this.server.port
	}

	close() {
		for (const worker of this.machines.values()) worker.stop('end of the case')
		this.server?.close()
	}

	add(type, zone, spot) {
		const id = `i-${String(++this.lastId).padStart(6, '0')}`
		const worker = new Worker(this, { id, type, zone, spot, rentedAt: performance.now() })
		this.machines.set(id, worker)
		return worker
	}

	answer({ method, path, query, body }) {
		const now = performance.now()
		this.calls = this.calls.filter((at) => now - at < 2000)
		if (this.calls.length >= this.rps * 4) return { status: 429 }
		this.calls.push(now)
		if (path === '/catalog') return { status: 200, body: { flavours: this.types } }
		if (method === 'GET' && path === '/hosts') {
			const from = query.get('from') ?? ''
			const hosts = [...this.machines.values()]
				.filter(({ id, gone }) => !gone && id > from)
				.map(({ id, type, zone, spot, rentedAt, server }) => ({
					uid: id,
					addr: server ? `127.0.0.1:${server.port}` : null,
					flavour: type.label,
					site: zone,
					reclaimable: spot,
					status: server ? 'running' : 'booting',
					heldS: (now - rentedAt) / 1000,
				}))
			return { status: 200, body: { hosts, truncated: false } }
		}
		if (path === '/hosts/release') {
			for (const id of body.hosts) this.machines.get(id)?.stop('returned')
			this.note('returned', { hosts: body.hosts })
			return { status: 200 }
		}
		if (path === '/hosts') return this.rent(body)
		return { status: 400 }
	}

	rent({ rental, flavour, site, reclaimable, howMany }) {
		const known = this.rentals.get(rental)
		if (known !== undefined) return { status: 200, body: { hosts: known } }
		const type = this.types.find(({ label }) => label === flavour)
		if (type === undefined || !(howMany > 0 && howMany <= 50)) return { status: 400 }
		const held = [...this.machines.values()].filter(
			(worker) => !worker.gone && worker.type === type && worker.zone === site && worker.spot === reclaimable,
		).length
		const count = Math.min(howMany, this.capacity(flavour, site, reclaimable) - held)
		this.note('rental', { rental, flavour, site, reclaimable, howMany, got: Math.max(0, count) })
		if (count <= 0) return { status: 503, body: { error: 'no capacity' } }
		const hosts = []
		for (let index = 0; index < count; index++) {
			const worker = this.add(type, site, reclaimable)
			hosts.push(worker.id)
			setTimeout(() => {
				if (!worker.gone) void worker.boot()
			}, this.bootMs(worker))
		}
		this.rentals.set(rental, hosts)
		return { status: 200, body: { hosts } }
	}
}

// Stand-ins of the cloud and of the machines' agents, as on the protocol page.
import { agent, HOST, request, serve } from './net.mjs'

const MAX_BODY = 64 * 1024

export class Worker {
	tenure = 1
	counter = 0
	fence = 0
	tasks = new Map()
	completed = new Set()
	/** image -> when it has been fetched */
	images = new Map()
	fenceChangedAt = Number.NEGATIVE_INFINITY
	stopped = false
	target = 0
	inFlight = false
	changed = true
	lastSent = Number.NEGATIVE_INFINITY
	nextAt = 0
	hungUntil = 0
	warnAt = null
	/** proxied: may drop or delay requests and answers */
	link = { out: true, in: true, direct: true }
	constructor(world, id, type, site, spot) {
		Object.assign(this, { world, id, type, site, spot })
		this.leaseFrom = performance.now()
		this.target = Math.floor(Math.random() * world.nodes.length)
		this.agent = agent()
	}
	async boot() {
		this.server = await serve((message, reply) => this.direct(message, reply))
		this.addr = `${HOST}:${this.server.port}`
		this.leaseFrom = performance.now()
		this.timer = setInterval(() => this.loop(), 50)
	}
	get hung() {
		return performance.now() < this.hungUntil
	}
	stop() {
		if (this.stopped) return
		this.stopped = true
		clearInterval(this.timer)
		for (const task of this.tasks.values()) this.off(task, 'machine gone')
	}
	/** A machine that has stopped stays silent: its connections are closed only at the end of the script. */
	close() {
		this.stop()
		this.server?.close()
		this.agent.destroy()
	}
	report() {
		const pieces = []
		for (const { piece, attempt, status, cause, stored } of this.tasks.values())
			pieces.push(status === 'ended' ? { piece, try: attempt, status, cause, ...(stored ? { stored } : {}) } : { piece, try: attempt, status })
		const warningS = this.warnAt === null ? null : Math.max(0, (this.warnAt - performance.now()) / 1000)
		return { host: this.id, addr: this.addr, flavour: this.type.label, site: this.site, reclaimable: this.spot,
			tenure: this.tenure, counter: ++this.counter, fence: this.fence, warningS, pieces }
	}
	loop() {
		if (this.stopped) return
		const now = performance.now()
		// The lease ends whether the machine hangs or not.
		if (now - this.leaseFrom > this.world.workers.lease_s * 1000) this.expire()
		if (this.hung) return
		for (const task of [...this.tasks.values()]) this.step(task, now)
		if (this.inFlight) return
		const since = now - this.lastSent
		if (now < this.nextAt && !(this.changed && since >= 500 && !this.retrying)) return
		this.send()
	}
	expire() {
		this.world.event('lease expired', { host: this.id, tasks: this.tasks.size })
		for (const task of this.tasks.values()) this.off(task, 'lease')
		this.tasks.clear()
		this.tenure++
		this.leaseFrom = performance.now()
		this.changed = true
	}
	async send() {
		const { nodes, workers } = this.world
		this.inFlight = true
		this.changed = false
		this.retrying = false
		const sentAt = performance.now()
		this.lastSent = sentAt
		this.nextAt = sentAt + workers.report_s * 1000 * (0.75 + Math.random() * 0.5)
		const tenure = this.tenure
		const node = nodes[this.target]
		const report = this.report()
		const size = JSON.stringify(report).length
		this.reportBytes = size
		// No request body may exceed 64 KiB: a report that has outgrown this limit cannot be sent.
		const fits = size <= MAX_BODY
		if (!fits) this.world.event('report too large', { host: this.id, bytes: size, pieces: report.pieces.length })
		const answer = !fits ? null : this.link.out ? await request(node.checkin ?? node.bind, 'POST', '/checkin', report, 4000, this.agent) : await new Promise((done) => setTimeout(() => done(null), 4000))
		this.world.onReport?.(this, node, size, answer, report)
		this.inFlight = false
		if (this.stopped) return
		const received = this.link.in ? answer : null
		if (received?.status === 200) {
			if (tenure !== this.tenure || performance.now() - sentAt > 4000) return
			const fence = Number(received.body?.fence ?? -1)
			if (fence < this.fence) return
			this.raiseFence(fence)
			this.leaseFrom = sentAt
			for (const order of received.body.orders ?? []) this.execute(order, node.name, fence)
			return
		}
		const named = received?.status === 421 ? nodes.findIndex(({ name }) => name === received.body?.overseer) : -1
		if (named >= 0 && named !== this.target) {
			this.target = named
			this.nextAt = performance.now() + Math.random() * 500
			this.retrying = true
			return
		}
		this.target = (this.target + 1) % nodes.length
		this.nextAt = performance.now() + 1000
		this.retrying = true
	}
	direct({ method, path, body }, reply) {
		if (this.stopped || !this.link.direct) return
		if (this.hung) return setTimeout(() => this.direct({ method, path, body }, reply), 50)
		const lateMs = path === '/commands' ? (this.world.commandDelayMs?.(this, body) ?? 0) : 0
		if (lateMs > 0) return setTimeout(() => this.stopped || this.late(body), lateMs)
		if (path === '/inspect') return reply(200, this.report())
		if (path !== '/commands') return reply(404, {})
		if (body?.fence === undefined || body?.tenure === undefined) return reply(400, {})
		if (Number(body.fence) < this.fence || Number(body.tenure) !== this.tenure) return reply(409, this.report())
		this.raiseFence(Number(body.fence))
		for (const order of body.orders ?? []) this.execute(order, 'direct', this.fence)
		reply(200, this.report())
	}
	/** A higher token counts as a change at most once in half of a lease. */
	raiseFence(fence) {
		const now = performance.now()
		if (fence > this.fence && now - this.fenceChangedAt > this.world.workers.lease_s * 500) {
			this.changed = true
			this.fenceChangedAt = now
		}
		this.fence = fence
	}
	/** A direct command that was held up: executed once if token and session still match, not answered. */
	late(body) {
		if (Number(body.fence) < this.fence || Number(body.tenure) !== this.tenure) return
		this.fence = Number(body.fence)
		for (const order of body.orders ?? []) this.execute(order, 'direct, late', this.fence)
	}
	execute({ verb, piece, try: attempt, windDownS }, by, fence) {
		const key = `${piece}#${attempt}`
		const task = this.tasks.get(key)
		if (verb === 'forget') {
			if (task?.status === 'ended') this.tasks.delete(key)
			return
		}
		if (verb === 'kill') return task === undefined ? undefined : this.kill(task, windDownS ?? 0)
		if (verb !== 'start' || task !== undefined) return
		const [uid, index] = piece.split('/')
		const spec = this.world.jobs.get(uid)
		const created = { key, piece, uid, attempt, status: 'pulling', by, fence }
		this.tasks.set(key, created)
		this.changed = true
		this.world.event('start', { piece, try: attempt, host: this.id, by, fence })
		if (spec === undefined || Number(index) >= spec.pieces) return this.refuse(created, 'no_such')
		created.spec = spec
		let [cpus, ram] = [spec.cpus, spec.ramGb]
		for (const other of this.tasks.values()) {
			if (other === created || other.status === 'ended') continue
			if (other.piece === piece) return this.refuse(created, 'in_use')
			cpus += other.spec.cpus
			ram += other.spec.ramGb
		}
		if (cpus > this.type.cpus + 1e-6 || ram > this.type.ramGb + 1e-6) return this.refuse(created, 'no_room')
		// An image is fetched once for all tasks that need it.
		const fetchedAt = this.images.get(spec.bundle) ?? performance.now() + (spec.imageGb / this.type.fetchGbPerS) * 1000
		this.images.set(spec.bundle, fetchedAt)
		created.readyAt = Math.max(fetchedAt, performance.now())
	}
	step(task, now) {
		if (task.status === 'pulling' && now >= task.readyAt) {
			task.status = 'running'
			task.onMachine = true
			const runMs = this.completed.has(task.piece) ? 0 : this.world.runS(task.spec, task.piece) * 1000
			task.doneAt = now + runMs
			this.changed = true
			this.world.placed(task, this)
		}
		if (task.status === 'running' && now >= task.doneAt) {
			this.completed.add(task.piece)
			this.off(task, 'done')
			this.world.done(task, this)
			Object.assign(task, { status: 'ended', cause: 'done' })
			this.changed = true
		}
		if (task.status === 'flushing' && now >= task.savedAt) {
			this.off(task, 'saved')
			Object.assign(task, { status: 'ended', cause: 'halted', stored: true })
			this.changed = true
		}
	}
	kill(task, windDownS) {
		if (task.status === 'ended') return
		this.changed = true
		if (task.status === 'running' && task.spec.snapshotEveryS > 0 && windDownS >= task.spec.snapshotS) {
			task.status = 'flushing'
			task.savedAt = performance.now() + task.spec.snapshotS * 1000
			return
		}
		if (task.status === 'flushing' && windDownS > 0) return
		this.off(task, 'killed')
		Object.assign(task, { status: 'ended', cause: 'halted' })
	}
	refuse(task, cause) {
		this.world.event('refused', { piece: task.piece, host: this.id, cause })
		Object.assign(task, { status: 'ended', cause })
	}
	off(task, why) {
		if (!task.onMachine) return
		task.onMachine = false
		this.world.removed(task, this, why)
	}
}

export class Cloud {
	rentals = new Map()
	hosts = new Map()
	count = 0
	down = false
	/** agents of all machines that were ever up */
	booted = []
	/** `boot`: range of the boot time, as factors of the type's `bootS`; the page says usually 0.6 to 1.5 */
	constructor(world, types, capacity, boot, rps) {
		Object.assign(this, { world, types, capacity: new Map(Object.entries(capacity)), boot, rps, calls: 2 * rps, refilledAt: performance.now() })
	}
	async listen() {
		this.server = await serve((message, reply) => this.handle(message, reply))
		return this.server.port
	}
	close() {
		this.server?.close()
		for (const worker of this.booted) worker.close()
	}
	add(type, site, spot, bootMs) {
		const uid = `i-${String(++this.count).padStart(6, '0')}`
		const host = { uid, type, site, spot, status: 'booting', since: performance.now(), worker: null, gone: false }
		this.hosts.set(uid, host)
		setTimeout(async () => {
			if (host.gone || this.world.ended) return
			host.worker = new Worker(this.world, uid, type, site, spot)
			this.booted.push(host.worker)
			await host.worker.boot()
			host.status = 'running'
			this.world.event('machine up', { host: uid, type: type.label, site, spot })
		}, bootMs)
		return uid
	}
	get workers() {
		return [...this.hosts.values()].filter(({ worker, gone }) => worker !== null && !gone).map(({ worker }) => worker)
	}
	remove(uid) {
		const host = this.hosts.get(uid)
		if (host === undefined || host.gone) return
		host.gone = true
		host.worker?.stop()
		const offer = `${host.type.label}/${host.site}/${host.spot}`
		this.capacity.set(offer, (this.capacity.get(offer) ?? 0) + 1)
		this.world.event('machine released', { host: uid })
		this.hosts.delete(uid)
	}
	/** The cloud takes a spot machine back without notice; it is no longer listed. */
	take(uid) {
		const host = this.hosts.get(uid)
		host.gone = true
		host.worker?.stop()
		this.hosts.delete(uid)
	}
	handle({ method, path, body }, reply) {
		if (this.down) return reply(503, { error: 'trouble' })
		const now = performance.now()
		// Bursts worth two seconds are allowed.
		this.calls = Math.min(2 * this.rps, this.calls + ((now - this.refilledAt) * this.rps) / 1000)
		this.refilledAt = now
		if (this.calls < 1) return reply(429, { error: 'too many' })
		this.calls--
		const answer = (status, data) => setTimeout(() => reply(status, data), 60)
		if (path === '/catalog') return answer(200, { flavours: this.types })
		if (path === '/hosts/release') {
			for (const uid of body.hosts) this.remove(uid)
			return answer(200, {})
		}
		if (method === 'POST' && path === '/hosts') {
			const known = this.rentals.get(body.rental)
			if (known !== undefined) return answer(200, { hosts: known })
			const offer = `${body.flavour}/${body.site}/${body.reclaimable}`
			const free = this.capacity.get(offer) ?? 0
			if (free <= 0) return answer(503, { error: 'no capacity' })
			const type = this.types.find(({ label }) => label === body.flavour)
			const count = Math.min(free, body.howMany, 50)
			this.capacity.set(offer, free - count)
			const hosts = Array.from({ length: count }, () =>
				this.add(type, body.site, body.reclaimable, type.bootS * 1000 * (this.boot[0] + Math.random() * (this.boot[1] - this.boot[0]))))
			this.rentals.set(body.rental, hosts)
			this.world.event('rented', { rental: body.rental, offer, hosts })
			return answer(200, { hosts })
		}
		if (method === 'GET' && path.startsWith('/hosts')) {
			const hosts = [...this.hosts.values()].map(({ uid, type, site, spot, status, since, worker }) => ({
				uid, addr: worker?.addr ?? null, flavour: type.label, site, reclaimable: spot, status, heldS: (performance.now() - since) / 1000 }))
			return answer(200, { hosts, truncated: false })
		}
		return answer(400, { error: 'malformed' })
	}
}

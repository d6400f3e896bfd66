// One small deployment: controllers as processes with the commands of the deploy file, and stand-ins around them.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { Cloud } from './fleet.mjs'
import { agent, freePorts, HOST, NODE_HOST, request, sleep } from './net.mjs'
import { State } from './state.mjs'

/** The deployment of szalkabel-jobs, as its site page has it. */
export const SZALKABEL = {
	zones: ['budapest-a', 'debrecen-b'],
	teams: [{ name: 'dispatch', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
	objectives: [
		{ kind: 'finished', class: 'route-plan', within_s: 200, share: 0.92 },
		{ kind: 'finished', class: 'route-plan', within_s: 300, share: 0.92 },
		{ kind: 'wait', class: 'slot-assign', within_s: 15, share: 0.82 },
		{ kind: 'wait', class: 'slot-assign', within_s: 25, share: 0.9 },
		{ kind: 'finished', class: 'slot-assign', within_s: 50, share: 0.9 },
		{ kind: 'finished', class: 'survey-digest', within_s: 250, share: 0.88 },
	],
	workers: { report_s: 3, lease_s: 26, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 46 },
	state: { rps: 100, write_rps: 25, value_kb: 8, txn_ops: 8 },
	cloud: { rps: 4, list_lag_s: 5 },
	resources: { cpu: 0.34, memory_mb: 306, fd_limit: 3000 },
}
export const SZALKABEL_TYPES = (zones) => [
	{ label: 'basic-vm', cpus: 8, gpus: 0, ramGb: 32, cacheGb: 35, fetchGbPerS: 0.3, hourly: 0.42, spotPrice: 0.12, bootS: 15, sites: zones },
]
/** The deployment of daugava-credit-batch. */
export const DAUGAVA = {
	zones: ['jelgava-dc', 'riga-centre'],
	teams: [{ name: 'settlements', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
	objectives: [
		{ kind: 'finished', class: 'plan-recalc', within_s: 90, share: 0.88 },
		{ kind: 'finished', class: 'plan-recalc', within_s: 150, share: 0.97 },
		{ kind: 'deadline', class: 'merchant-payout', share: 0.94, times: 1 },
		{ kind: 'wait', class: 'merchant-payout', within_s: 40, share: 0.95 },
		{ kind: 'wait', class: 'dunning-letters', within_s: 180, share: 0.85 },
		{ kind: 'wait', class: 'dunning-letters', within_s: 300, share: 0.9 },
		{ kind: 'finished', class: 'dunning-letters', within_s: 400, share: 0.9 },
	],
	workers: { report_s: 1, lease_s: 10, gang_wait_s: 35, gang_peer_s: 5, cancel_s: 30 },
	state: { rps: 200, write_rps: 15, value_kb: 8, txn_ops: 12 },
	cloud: { rps: 2, list_lag_s: 3 },
	resources: { cpu: 0.34, memory_mb: 146, fd_limit: 900 },
}
export const DAUGAVA_TYPES = (zones) => [
	{ label: 'small-rack', cpus: 8, gpus: 0, ramGb: 32, cacheGb: 40, fetchGbPerS: 0.5, hourly: 0.57, spotPrice: 0.18, bootS: 40, sites: zones },
	{ label: 'wide-rack', cpus: 32, gpus: 0, ramGb: 128, cacheGb: 40, fetchGbPerS: 0.5, hourly: 2.26, spotPrice: 0.68, bootS: 35, sites: zones },
]

/** Reads `run` of the deploy file. */
const runCommand = (root) => {
	const line = readFileSync(join(root, 'deploy/service.toml'), 'utf8').split('\n').find((text) => text.startsWith('run'))
	return /"(.*)"/.exec(line)[1].split(' ').filter((word) => word !== '')
}

export class World {
	nodes = []
	jobs = new Map()
	places = new Map()
	doneTasks = new Map()
	violations = []
	/** events that are not in the record yet */
	lines = []
	flushing = null
	ended = false
	constructor({ root, deployment, types, capacity, boot = [0.6, 0.65], machines = [], record = null, restartS = 4, count = 3 }) {
		this.root = resolve(root)
		this.deployment = deployment
		this.workers = deployment.workers
		this.restartS = restartS
		this.count = count
		this.record = record
		if (record !== null) writeFileSync(record, '')
		this.dir = mkdtempSync(join(tmpdir(), 'review-'))
		this.startedAt = performance.now()
		this.state = new State(deployment.state)
		this.cloud = new Cloud(this, types, capacity, boot, deployment.cloud.rps)
		this.machines = machines
		this.users = agent()
	}
	get s() {
		return (performance.now() - this.startedAt) / 1000
	}
	event(what, details = {}) {
		const line = `${this.s.toFixed(2).padStart(7)} ${what} ${JSON.stringify(details)}`
		this.lines.push(line)
		this.flushing ??= setTimeout(() => this.flush(), 300)
		this.onEvent?.(what, details)
	}
	/** Writes the events so far to the record; many at a time, since a script may have hundreds of thousands. */
	flush() {
		clearTimeout(this.flushing)
		this.flushing = null
		const lines = this.lines.splice(0)
		if (this.record !== null && lines.length > 0) appendFileSync(this.record, `${lines.join('\n')}\n`)
	}
	violation(rule, details) {
		this.violations.push({ rule, at: this.s, details })
		this.event(`BROKEN ${rule}`, details)
	}
	/** Run time in s of a task. */
	runS(spec) {
		return spec.expectedS
	}
	placed(task, worker) {
		const on = this.places.get(task.piece)
		this.event('on machine', { piece: task.piece, try: task.attempt, host: worker.id })
		if (on !== undefined && on !== worker) this.violation('ran_twice', { piece: task.piece, on: on.id, also: worker.id })
		this.places.set(task.piece, worker)
		if (this.onPlaced) this.onPlaced(task, worker)
	}
	removed(task, worker, why) {
		if (this.places.get(task.piece) === worker) this.places.delete(task.piece)
		if (why !== 'done') this.event('off machine', { piece: task.piece, host: worker.id, why })
		this.onRemoved?.(task, worker, why)
	}
	done(task, worker) {
		this.event('task done', { piece: task.piece, try: task.attempt, host: worker.id })
		const done = this.doneTasks.get(task.uid) ?? new Set()
		done.add(task.piece)
		this.doneTasks.set(task.uid, done)
		this.onTaskDone?.(task, worker)
	}
	/** Ends everything that was started, however the script ends. */
	guard() {
		const stop = (why) => {
			console.log(`could not run: ${why}`)
			void this.end().finally(() => process.exit(2))
		}
		for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => stop(signal))
		process.on('uncaughtException', (error) => stop(error.stack))
		process.on('unhandledRejection', (error) => stop(error?.stack ?? error))
		setTimeout(() => stop('the time is over'), 118_000).unref()
	}
	async start() {
		this.guard()
		const names = Array.from({ length: this.count }, (_, index) => `workhorse-${index}`)
		const ports = await freePorts(names.length * 2)
		const cloudPort = await this.cloud.listen()
		const { zones } = this.deployment
		for (const [index, name] of names.entries()) {
			const statePort = await this.state.listen(name)
			const bind = `${NODE_HOST}:${ports[index]}`
			const peer = `${NODE_HOST}:${ports[names.length + index]}`
			this.nodes.push({ name, bind, peer, site: zones[index % zones.length], statePort, cloudPort, child: null, exits: [] })
		}
		for (const node of this.nodes) {
			await this.configure?.(node)
			const { name, bind, peer, site } = node
			const members = this.nodes.filter((other) => other !== node).map((other) => ({ host_name: other.name, site: other.site, peer_addr: node.peerAddressOf?.[other.name] ?? other.peer }))
			const settings = { host_name: name, site, bind, internal_addr: peer, members,
				services: { cloud: `${HOST}:${node.cloudPort}`, state: `${HOST}:${node.statePort}` },
				deployment: { size: names.length, ...this.deployment }, time_bound_ms: 1000 }
			node.settings = join(this.dir, `${name}.json`)
			writeFileSync(node.settings, JSON.stringify(settings))
		}
		for (const { type, site, spot } of this.machines)
			this.cloud.add(this.cloud.types.find(({ label }) => label === type), site, spot, 0)
		for (const node of this.nodes) this.spawn(node)
	}
	spawn(node) {
		const [program, ...args] = runCommand(this.root)
		const child = spawn(program === 'node' ? process.execPath : program, [...args, node.settings], { cwd: this.root, stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' } })
		node.child = child
		node.log ??= []
		child.stderr.on('data', (chunk) => {
			const text = chunk.toString()
			node.log.push(text)
			if (this.logs) appendFileSync(join(this.logs, `${node.name}.log`), text)
		})
		this.event('controller started', { node: node.name, pid: child.pid })
		child.on('exit', (code, signal) => {
			if (node.child === child) node.child = null
			this.event('controller ended', { node: node.name, code, signal, byTest: child.byTest === true })
			if (this.ended) return
			if (child.byTest !== true) node.exits.push({ at: this.s, code, signal })
			setTimeout(() => {
				if (!this.ended && node.child === null && !node.heldDown) this.spawn(node)
			}, this.restartS * 1000)
		})
	}
	kill(node, signal = 'SIGKILL') {
		if (node.child === null) return
		if (signal === 'SIGKILL' || signal === 'SIGTERM') node.child.byTest = true
		this.event('signal', { node: node.name, signal })
		node.child.kill(signal)
	}
	async healthy(count = this.count, withinS = 40) {
		for (const until = this.s + withinS; this.s < until; ) {
			const answers = await Promise.all(this.nodes.map(({ bind }) => request(bind, 'GET', '/healthz', undefined, 1000)))
			if (answers.filter((answer) => answer?.status === 200).length >= count) return true
			await sleep(200)
		}
		return false
	}
	async api(node, method, path, body, timeoutMs) {
		const sentAt = this.s
		const answer = await request(node.bind, method, path, body, timeoutMs, this.users)
		const small = Buffer.isBuffer(body) ? { bytes: body.length } : body === undefined ? undefined : { uid: body.uid, pieces: body.pieces }
		this.event('user', { node: node.name, call: `${method} ${path}`, sent: small, sentAt: Number(sentAt.toFixed(2)), status: answer?.status ?? null, answer: answer?.body ?? null })
		return answer
	}
	/** Submits as a user does: any controller, retried for up to 60 s. */
	async submit(spec, untilS = 60) {
		this.jobs.set(spec.uid, spec)
		const until = this.s + untilS
		for (let turn = Math.floor(Math.random() * this.count); this.s < until; turn++) {
			const node = this.nodes[turn % this.count]
			const answer = await this.api(node, 'POST', '/v2/runs', spec, 5000)
			if (answer !== null && [200, 201, 400, 422].includes(answer.status)) return { ...answer, node }
			await sleep(Math.max(1000, Math.min(30, answer?.retryAfterS ?? 0) * 1000))
		}
		return null
	}
	poll(uid, node = this.nodes[Math.floor(Math.random() * this.count)]) {
		return this.api(node, 'GET', `/v2/runs/${uid}`, undefined, 2000)
	}
	async withdraw(uid, untilS = 60) {
		const until = this.s + untilS
		for (let turn = Math.floor(Math.random() * this.count); this.s < until; turn++) {
			const answer = await this.api(this.nodes[turn % this.count], 'POST', `/v2/runs/${uid}/withdraw`, {}, 5000)
			if (answer?.status === 200) return answer
			await sleep(Math.max(1000, Math.min(30, answer?.retryAfterS ?? 0) * 1000))
		}
		return null
	}
	rssMb(node) {
		try {
			return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${node.child.pid}/status`, 'utf8'))?.[1] ?? 0) / 1024
		} catch {
			return 0
		}
	}
	async end() {
		this.ended = true
		this.flush()
		const children = this.nodes.map(({ child }) => child).filter((child) => child !== null)
		for (const child of children) {
			child.kill('SIGCONT')
			child.kill('SIGKILL')
		}
		await Promise.all(children.map((child) => (child.exitCode !== null || child.signalCode !== null ? null : new Promise((done) => child.once('exit', done)))))
		this.cloud.close()
		this.state.close()
		this.flush()
		rmSync(this.dir, { recursive: true, force: true })
	}
}

export const job = (number, fields = {}) => ({
	uid: `job-${String(number).padStart(6, '0')}`, jobclass: 'route-plan', owner: 'dispatch', shape: 'sweep', urgency: 'normal', pieces: 1,
	cpus: 2, gpus: 0, ramGb: 4.1, bundle: 'img-01', imageGb: 0.3, flavours: null, site: null, samePlace: false, apart: false, reclaimable: true,
	expectedS: 5, snapshotEveryS: 0, snapshotS: 0, dueS: null, ...fields,
})

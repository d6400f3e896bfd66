// Starts the service as the deploy file says, with the stand-ins around it, and writes the record of a case.
import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Fleet } from './fleet.mjs'
import { call, freePorts, sleep } from './net.mjs'
import { State } from './state.mjs'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))

/** The words of the deploy file's `run`. */
const runCommand = () => {
	const text = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8')
	return JSON.parse(/^run = (".*")$/m.exec(text)[1]).split(' ')
}

export class World {
	/** @param site {zones, nodes, teams, workers, state, cloud, resources, types, objectives}; folder: of the case */
	constructor(site, folder) {
		this.site = site
		this.recordPath = join(folder, 'record.txt')
		this.lines = []
		this.startedAt = performance.now()
		this.dir = mkdtempSync(join(tmpdir(), 'review-'))
		this.children = new Map()
		this.trouble = process.env.TROUBLE !== '0'
		this.exitCode = 2
		this.note('case', { trouble: this.trouble })
	}

	get nowS() {
		return (performance.now() - this.startedAt) / 1000
	}

	note(what, facts = {}) {
		const text = Object.entries(facts)
			.map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : value}`)
			.join(' ')
		this.lines.push(`${this.nowS.toFixed(3).padStart(8)} ${what} ${text}`.trimEnd())
	}

	async start() {
		const { site } = this
		const count = site.nodes
		const ports = await freePorts(count * 2)
		this.nodes = Array.from({ length: count }, (_, index) => ({
			name: `workhorse-${index}`,
			site: site.zones[index % site.zones.length],
			port: ports[index],
			peerPort: ports[count + index],
		}))
		this.state = new State(site.state)
		this.fleet = new Fleet({
			nodes: this.nodes,
			workers: site.workers,
			types: site.types,
			note: (what, facts) => this.note(what, facts),
		})
		const cloudPort = await this.fleet.open(site.cloud.rps)
		for (const node of this.nodes) {
			const statePort = await this.state.listen(node.name)
			node.settings = join(this.dir, `${node.name}.json`)
			const settings = {
				host_name: node.name,
				site: node.site,
				bind: `127.0.0.1:${node.port}`,
				internal_addr: `127.0.0.1:${node.peerPort}`,
				members: this.nodes
					.filter((other) => other !== node)
					.map((other) => ({
						host_name: other.name,
						site: other.site,
						peer_addr: `127.0.0.1:${other.peerProxy ?? other.peerPort}`,
					})),
				services: { cloud: `127.0.0.1:${cloudPort}`, state: `127.0.0.1:${statePort}` },
				deployment: {
					size: count,
					zones: site.zones,
					teams: site.teams,
					objectives: site.objectives ?? [],
					workers: site.workers,
					state: site.state,
					cloud: site.cloud,
					resources: site.resources,
					time_bound_ms: 1000,
				},
			}
			writeFileSync(node.settings, JSON.stringify(settings))
		}
		for (const node of this.nodes) this.launch(node)
	}

	/** Starts a node's process. */
	launch(node) {
		const [program, ...words] = runCommand()
		const log = openSync(join(this.dir, `${node.name}.log`), 'a')
		const child = spawn(program, [...words, node.settings], { cwd: ROOT, stdio: ['ignore', 'ignore', log] })
		closeSync(log)
		this.children.set(node.name, child)
		this.note('node started', { node: node.name })
		child.on('exit', (code, signal) => this.note('node ended', { node: node.name, code, signal }))
		return child
	}

	/** Sends a signal to a node that this case started. */
	signal(node, name) {
		this.note('signal', { node: node.name, signal: name })
		this.children.get(node.name).kill(name)
	}

	/** Waits until all named nodes are healthy. */
	async healthy(timeoutS = 30, nodes = this.nodes) {
		const until = this.nowS + timeoutS
		for (const node of nodes)
			for (;;) {
				const answer = await call(node.port, 'GET', '/healthz', undefined, 1000)
				if (answer?.status === 200) break
				if (this.nowS > until) throw new Error(`${node.name} is not healthy`)
				await sleep(200)
			}
		this.note('healthy')
	}

	/** A job with the fields of the protocol. `runMs` is what its tasks take, and is not sent. */
	job(uid, fields) {
		return {
			uid,
			jobclass: 'any',
			owner: this.site.teams[0].name,
			shape: 'sweep',
			urgency: 'normal',
			pieces: 1,
			cpus: 1,
			gpus: 0,
			ramGb: 1,
			flavours: null,
			site: null,
			samePlace: false,
			apart: false,
			reclaimable: true,
			bundle: 'img-01',
			imageGb: 0.4,
			expectedS: 18,
			snapshotEveryS: 0,
			snapshotS: 0,
			dueS: null,
			...fields,
		}
	}

	/** Sends one request of a user and records it. */
	async ask(node, method, path, body, timeoutMs) {
		const sentS = this.nowS
		const answer = await call(node.port, method, path, body, timeoutMs)
		this.note('user', {
			at: node.name,
			sent: sentS.toFixed(3),
			request: `${method} ${path}`,
			status: answer?.status ?? 'no answer',
			body: answer?.body ?? null,
		})
		return answer
	}

	/** Submits a job as a user does, at one node after the other, for up to 60 s. */
	async submit(job, first = 0) {
		this.fleet.jobs.set(job.uid, job)
		const { runMs: _, ...message } = job
		const until = this.nowS + 60
		for (let index = first; this.nowS < until; index++) {
			const answer = await this.ask(this.nodes[index % this.nodes.length], 'POST', '/v2/runs', message, 5000)
			if (answer?.status === 200 || answer?.status === 201) return true
			if (answer?.status === 400 || answer?.status === 422) return false
			await sleep(Math.max(1000, (answer?.retryAfterS ?? 0) * 1000))
		}
		return false
	}

	/** Polls a job once. */
	poll(uid, node) {
		return this.ask(node, 'GET', `/v2/runs/${uid}`, undefined, 2000)
	}

	/** Asks for a cancellation, until it is confirmed; resolves with the final status. */
	async cancel(uid, nodes, timeoutS = 60) {
		const until = this.nowS + timeoutS
		for (let index = 0; this.nowS < until; index++) {
			const answer = await this.ask(nodes[index % nodes.length], 'POST', `/v2/runs/${uid}/withdraw`, {}, 5000)
			if (answer?.status === 200) return answer.body.status
			await sleep(Math.max(1000, (answer?.retryAfterS ?? 0) * 1000))
		}
		return null
	}

	/** Log lines of a node that contain a text. */
	logLines(node, text) {
		return readFileSync(join(this.dir, `${node.name}.log`), 'utf8')
			.split('\n')
			.filter((line) => line.includes(text))
	}

	/** Ends all processes, writes the record and exits. */
	async end() {
		if (this.ending) return
		this.ending = true
		for (const child of this.children.values()) {
			if (child.exitCode !== null || child.signalCode !== null) continue
			const ended = new Promise((done) => child.once('exit', done))
			child.kill('SIGKILL')
			await ended
		}
		this.fleet?.close()
		this.state?.close()
		this.note('exit', { code: this.exitCode })
		writeFileSync(this.recordPath, `${this.lines.join('\n')}\n`)
		if (process.env.KEEP_LOGS !== '1') rmSync(this.dir, { recursive: true, force: true })
		else process.stderr.write(`${this.dir}\n`)
		process.exit(this.exitCode)
	}
}

/** Runs a case: `play` returns true if the rule held, false if it was broken, null if the case could not run. */
export const runCase = async (site, folder, play, limitS = 112) => {
	const world = new World(site, folder)
	const timer = setTimeout(() => {
		world.note('the case took too long')
		void world.end()
	}, limitS * 1000)
	// A case that is told to end also ends what it started.
	for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP'])
		process.once(name, () => {
			world.note('told to end', { signal: name })
			world.exitCode = 2
			void world.end()
		})
	try {
		await world.start()
		const held = await play(world)
		world.note('result', { held })
		world.exitCode = held === null ? 2 : held ? 0 : 1
	} catch (error) {
		world.note('failed to run', { error: error.stack })
	}
	clearTimeout(timer)
	await world.end()
}

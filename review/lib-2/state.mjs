// Stand-in of the state service: keys, transactions, grants, watches, limits and outages as in the protocol.
import { serve, sleep } from './net.mjs'

const KEPT_CHANGES = 10_000

/** The size of a value: of its JSON form, in bytes. */
const bytes = (value) => Buffer.byteLength(JSON.stringify(value))

class Bucket {
	constructor(perS) {
		this.perS = perS
		this.level = perS
		this.at = performance.now()
	}
	take(count) {
		const now = performance.now()
		this.level = Math.min(this.perS, this.level + ((now - this.at) / 1000) * this.perS)
		this.at = now
		if (this.level < count) return false
		this.level -= count
		return true
	}
}

export class State {
	/** @param limits {rps, write_rps, value_kb, txn_ops}, as in the settings */
	constructor(limits, latencyMs = 2) {
		this.limits = limits
		this.latencyMs = latencyMs
		this.requests = new Bucket(limits.rps)
		this.changes = new Bucket(limits.write_rps)
		this.values = new Map()
		this.epoch = 0
		this.log = []
		this.forgotten = 0
		this.grants = new Map()
		this.lastGrant = 0
		/** nodes that alone get 503 */
		this.refused = new Set()
		this.down = false
		this.waiting = new Set()
		this.servers = []
		/** may delay an answer: (node, request) => ms */
		this.delay = () => 0
		/** may hold back an answer after the request was carried out: (node, request) => ms */
		this.answerDelay = () => 0
		this.onBadRequest = () => {}
		this.timer = setInterval(() => this.expire(), 20)
	}

	/** Opens an address for one node, so that the service knows who asks. */
	async listen(node) {
		const server = await serve((request) => this.answer(node, request))
		this.servers.push(server)
		return server.port
	}

	close() {
		clearInterval(this.timer)
		for (const server of this.servers) server.close()
	}

	/** Ends an outage: all grants have their full time again. */
	recover() {
		this.down = false
		for (const grant of this.grants.values()) grant.until = performance.now() + grant.lifeMs
		this.wake()
	}

	isRefused(node) {
		return this.down || this.refused.has(node)
	}

	wake() {
		for (const check of [...this.waiting]) check()
	}

	async answer(node, request) {
		const answer = await this.carryOut(node, request)
		const lateMs = this.answerDelay(node, request)
		if (lateMs > 0) await sleep(lateMs)
		return answer
	}

	async carryOut(node, request) {
		const { method, path, query, body } = request
		await sleep(this.latencyMs * (0.5 + Math.random()) + this.delay(node, request))
		const apply = path === '/txn' && Array.isArray(body?.apply) ? body.apply : []
		if (!this.requests.take(1) || !this.changes.take(apply.length)) return { status: 429, body: { error: 'too many' } }
		if (this.isRefused(node)) return { status: 503, body: { error: 'trouble' } }
		if (path === '/watch') return this.watch(node, query)
		if (method === 'GET' && path === '/store') return this.list(query)
		if (method === 'GET' && path.startsWith('/store/')) {
			const key = path.slice('/store/'.length)
			const found = this.values.get(key)
			if (found === undefined) return { status: 404, body: { epoch: this.epoch } }
			return { status: 200, body: { key, data: found.data, stamp: found.stamp, grant: found.grant ?? null } }
		}
		if (path === '/txn') {
			const answer = this.transact(body)
			if (answer.status === 400) this.onBadRequest(node, answer.body.error)
			return answer
		}
		if (path === '/grants') {
			const id = ++this.lastGrant
			this.grants.set(id, { lifeMs: body.lifeMs, until: performance.now() + body.lifeMs })
			return { status: 200, body: { grant: id } }
		}
		const [, , id, verb] = path.split('/')
		const grant = this.grants.get(Number(id))
		if (path.startsWith('/grants/') && verb === 'extend') {
			if (grant === undefined) return { status: 404 }
			grant.until = performance.now() + grant.lifeMs
			return { status: 200 }
		}
		if (path.startsWith('/grants/') && method === 'DELETE') {
			if (grant === undefined) return { status: 404 }
			this.end(Number(id))
			return { status: 200 }
		}
		return { status: 400 }
	}

	expire() {
		if (this.down) return
		const now = performance.now()
		for (const [id, { until }] of [...this.grants]) if (now > until) this.end(id)
	}

	end(id) {
		this.grants.delete(id)
		const keys = [...this.values].filter(([, value]) => value.grant === id).map(([key]) => key)
		if (keys.length === 0) return
		this.epoch++
		for (const key of keys) this.change(key, undefined)
		this.wake()
	}

	change(key, data, grant) {
		if (data === undefined) {
			if (!this.values.delete(key)) return
			this.log.push({ delete: key, stamp: this.epoch })
		} else {
			this.values.set(key, { data, stamp: this.epoch, grant })
			this.log.push({ set: key, data, stamp: this.epoch })
		}
		while (this.log.length > KEPT_CHANGES) this.forgotten = this.log.shift().stamp
	}

	transact({ if: conditions = [], apply = [] }) {
		const { txn_ops, value_kb } = this.limits
		if (apply.length > txn_ops || conditions.length > 4 * txn_ops) return { status: 400, body: { error: 'too long' } }
		if (bytes({ conditions, apply }) > 64 * 1024) return { status: 400, body: { error: 'too long' } }
		for (const { set, data, grant } of apply) {
			if (set !== undefined && bytes(data) > value_kb * 1024)
				return { status: 400, body: { error: 'value too long' } }
			if (set !== undefined && grant !== undefined && grant !== null && !this.grants.has(grant))
				return { status: 400, body: { error: 'no such lease' } }
		}
		const failed = conditions
			.filter(({ key, stamp }) => (this.values.get(key)?.stamp ?? 0) !== stamp)
			.map(({ key }) => key)
		if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } }
		if (apply.length > 0) {
			this.epoch++
			for (const change of apply)
				if (change.set !== undefined) this.change(change.set, change.data, change.grant ?? undefined)
				else this.change(change.delete, undefined)
			this.wake()
		}
		return { status: 200, body: { epoch: this.epoch } }
	}

	list(query) {
		const under = query.get('under') ?? ''
		const from = query.get('from') ?? ''
		const page = Math.min(1000, Number(query.get('page') ?? 1000))
		const keys = [...this.values.keys()].filter((key) => key.startsWith(under) && key > from).sort()
		const entries = []
		let chars = 0
		for (const key of keys) {
			const { data, stamp } = this.values.get(key)
			chars += key.length + JSON.stringify(data).length + 40
			if (entries.length >= page || (chars > 512 * 1024 && entries.length > 0))
				return { status: 200, body: { entries, truncated: true, epoch: this.epoch } }
			entries.push({ key, data, stamp })
		}
		return { status: 200, body: { entries, truncated: false, epoch: this.epoch } }
	}

	watch(node, query) {
		const under = query.get('under') ?? ''
		const from = Number(query.get('from'))
		const until = performance.now() + Math.min(60_000, Number(query.get('blockMs') ?? 0))
		return new Promise((done) => {
			const check = () => {
				// While the node is refused, its open watches wait.
				if (this.isRefused(node)) return
				if (from < this.forgotten) return finish({ status: 410 })
				const log = this.log.filter((item) => item.stamp > from && (item.set ?? item.delete).startsWith(under))
				if (log.length === 0 && performance.now() < until) return
				finish({ status: 200, body: { epoch: this.epoch, log } })
			}
			const finish = (answer) => {
				this.waiting.delete(check)
				clearInterval(timer)
				done(answer)
			}
			const timer = setInterval(check, 50)
			this.waiting.add(check)
			check()
		})
	}
}

// Stand-in of the state service, with the limits, leases, watches and errors of the protocol page.
import { serve } from './net.mjs'

class Bucket {
	constructor(rate) {
		this.rate = rate
		this.level = rate
		this.at = performance.now()
	}
	take(count) {
		const now = performance.now()
		this.level = Math.min(this.rate, this.level + ((now - this.at) * this.rate) / 1000)
		this.at = now
		if (this.level < count) return false
		this.level -= count
		return true
	}
}

export class State {
	values = new Map()
	log = []
	epoch = 0
	grants = new Map()
	lastGrant = 0
	watches = new Set()
	down = false
	/** controllers that get 503 while others are served */
	refused = new Set()
	/** called for every transaction: may return { lose: true, lateMs } to withhold its answer */
	onTxn = () => null
	latencyMs = 2
	constructor({ rps, write_rps, value_kb, txn_ops }) {
		this.limits = { value: value_kb * 1024, ops: txn_ops }
		this.requests = new Bucket(rps)
		this.changes = new Bucket(write_rps)
		this.rejected = { 400: 0, 429: 0, 503: 0 }
		this.timer = setInterval(() => this.expire(), 25)
	}
	close() {
		clearInterval(this.timer)
		for (const server of this.servers ?? []) server.close()
	}
	/** One address for each controller, so that it is known who asks. */
	async listen(name) {
		const server = await serve((request, reply) => this.handle(name, request, reply))
		this.servers = [...(this.servers ?? []), server]
		return server.port
	}
	expire() {
		if (this.down) return
		const now = performance.now()
		for (const [id, grant] of [...this.grants]) if (now > grant.endsAt) this.end(id)
	}
	end(id) {
		this.grants.delete(id)
		for (const [key, value] of [...this.values])
			if (value.grant === id) {
				this.values.delete(key)
				this.publish([{ key, data: undefined }], ++this.epoch)
			}
	}
	setDown(down) {
		this.down = down
		if (!down) for (const grant of this.grants.values()) grant.endsAt = performance.now() + grant.lifeMs
		if (!down) this.wake()
	}
	publish(changes, epoch) {
		for (const { key, data } of changes) this.log.push({ key, data, stamp: epoch })
		if (this.log.length > 12000) this.log.splice(0, this.log.length - 10000)
		this.wake()
	}
	wake() {
		for (const watch of [...this.watches]) watch()
	}
	isRefused(name) {
		return this.down || this.refused.has(name)
	}
	handle(name, { method, path, body }, reply) {
		const answer = (status, data) => {
			if (status in this.rejected) this.rejected[status]++
			setTimeout(() => reply(status, data), this.latencyMs)
		}
		const url = new URL(path, 'http://state')
		const mutations = url.pathname === '/txn' && Array.isArray(body?.apply) ? body.apply : []
		if (url.pathname === '/watch') return this.watch(name, url, reply)
		if (this.isRefused(name)) return answer(503, { error: 'unavailable' })
		if (!this.requests.take(1) || !this.changes.take(mutations.length)) return answer(429, { error: 'too many' })
		if (url.pathname === '/txn') {
			const plan = this.onTxn(name, body)
			if (plan?.lateMs !== undefined) return setTimeout(() => this.txn(body), plan.lateMs)
			const [status, data] = this.txn(body)
			if (plan?.lose) return
			return answer(status, data)
		}
		if (method === 'POST' && url.pathname === '/grants') {
			const id = ++this.lastGrant
			this.grants.set(id, { lifeMs: body.lifeMs, endsAt: performance.now() + body.lifeMs })
			return answer(200, { grant: id })
		}
		const extend = /^\/grants\/(\d+)\/extend$/.exec(url.pathname)
		if (extend) {
			const grant = this.grants.get(Number(extend[1]))
			if (grant === undefined) return answer(404, {})
			grant.endsAt = performance.now() + grant.lifeMs
			return answer(200, {})
		}
		const remove = /^\/grants\/(\d+)$/.exec(url.pathname)
		if (method === 'DELETE' && remove) {
			this.end(Number(remove[1]))
			return answer(200, {})
		}
		if (method === 'GET' && url.pathname === '/store') return answer(200, this.list(url))
		if (method === 'GET' && url.pathname.startsWith('/store/')) {
			const key = url.pathname.slice('/store/'.length)
			const value = this.values.get(key)
			if (value === undefined) return answer(404, { epoch: this.epoch })
			return answer(200, { key, data: value.data, stamp: value.stamp, grant: value.grant })
		}
		return answer(400, { error: 'malformed' })
	}
	list(url) {
		const under = url.searchParams.get('under') ?? ''
		const from = url.searchParams.get('from') ?? ''
		const page = Math.min(1000, Number(url.searchParams.get('page') ?? 1000))
		const keys = [...this.values.keys()].filter((key) => key.startsWith(under) && key > from).sort()
		const entries = []
		let size = 0
		for (const key of keys) {
			const { data, stamp } = this.values.get(key)
			size += JSON.stringify(data).length + key.length + 40
			if (entries.length >= page || (size > 512 * 1024 && entries.length > 0))
				return { entries, truncated: true, epoch: this.epoch }
			entries.push({ key, data, stamp })
		}
		return { entries, truncated: false, epoch: this.epoch }
	}
	watch(name, url, reply) {
		const under = url.searchParams.get('under') ?? ''
		const from = Number(url.searchParams.get('from') ?? 0)
		const blockMs = Number(url.searchParams.get('blockMs') ?? 0)
		if (blockMs === 0 && this.isRefused(name)) return reply(503, { error: 'unavailable' })
		if (!this.requests.take(1)) return reply(429, { error: 'too many' })
		const until = performance.now() + blockMs
		const attempt = () => {
			if (this.isRefused(name)) return
			if (from < this.epoch && this.log.length > 0 && this.log[0].stamp > from + 1 && this.log.length >= 10000) {
				finish()
				return reply(410, {})
			}
			const log = this.log.filter((change) => change.stamp > from && change.key.startsWith(under))
			if (log.length === 0 && performance.now() < until) return
			finish()
			const events = log.map(({ key, data, stamp }) => (data === undefined ? { delete: key, stamp } : { set: key, data, stamp }))
			const { epoch } = this
			setTimeout(() => reply(200, { epoch, log: events }), this.latencyMs)
		}
		const timer = setTimeout(attempt, blockMs + 1)
		const finish = () => {
			clearTimeout(timer)
			this.watches.delete(attempt)
		}
		this.watches.add(attempt)
		attempt()
	}
	txn(body) {
		const conditions = body?.if ?? []
		const mutations = body?.apply ?? []
		const { ops, value } = this.limits
		if (mutations.length > ops || conditions.length > ops * 4) return [400, { error: 'too many operations' }]
		if (JSON.stringify(body).length > 64 * 1024) return [400, { error: 'too large' }]
		for (const mutation of mutations) {
			if (mutation.set === undefined) continue
			const size = JSON.stringify(mutation.data).length
			if (size > value) {
				this.oversized = { key: mutation.set, size }
				return [400, { error: 'value too large' }]
			}
			if (mutation.grant !== undefined && mutation.grant !== null && !this.grants.has(mutation.grant))
				return [400, { error: 'no such lease' }]
		}
		const failed = conditions.filter(({ key, stamp }) => (this.values.get(key)?.stamp ?? 0) !== stamp).map(({ key }) => key)
		if (failed.length > 0) return [409, { failed, epoch: this.epoch }]
		if (mutations.length === 0) return [200, { epoch: this.epoch }]
		const epoch = ++this.epoch
		const changes = []
		for (const mutation of mutations) {
			if (mutation.set !== undefined) {
				this.values.set(mutation.set, { data: mutation.data, stamp: epoch, grant: mutation.grant ?? null })
				changes.push({ key: mutation.set, data: mutation.data })
			} else if (this.values.delete(mutation.delete)) changes.push({ key: mutation.delete, data: undefined })
		}
		this.publish(changes, epoch)
		return [200, { epoch }]
	}
}

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { comparePositions, type TerminalState, TerminalStateLog } from '@heathroad/cluster'
import {
	Admission,
	Cursors,
	Hub,
	type JobEvent,
	type OpenJob,
	Pump,
	type Records,
	type Selection,
	type Subscription,
} from '@heathroad/events'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** The records of an installation, and controllers that know them up to an revision of their own. */
class Book {
	revision = 0
	readonly log: { revision: number; uid: string; team: string; final?: 'done' | 'aborted'; done: number }[] =
		[]

	change(uid: string, team: string, done: number, final?: 'done' | 'aborted', sameEpoch = false): void {
		if (!sameEpoch) this.revision++
		this.log.push({ revision: this.revision, uid, team, done, final })
	}
}

class Node implements Records {
	private known = 0
	private at = 0
	private readonly jobs = new Map<string, OpenJob>()
	private readonly over = new Map<string, TerminalState>()
	readonly finals: TerminalStateLog
	readonly hub: Hub
	now = 0

	constructor(
		private readonly book: Book,
		keep = 1000,
		installation = 'here',
	) {
		this.finals = new TerminalStateLog(keep, (uid) => this.over.get(uid))
		this.hub = new Hub(this, installation, 500, () => this.now)
	}

	/** Reads the book up to an revision; `ahead`: a change that is known before those in between. */
	read(revision = this.book.revision): void {
		for (; this.at < this.book.log.length && this.book.log[this.at].revision <= revision; this.at++)
			this.take(this.book.log[this.at])
		this.known = Math.max(this.known, revision)
		this.hub.advanced()
	}

	/** Our own write: known here before the watch tells what came earlier. */
	take(c: Book['log'][number]): void {
		if (c.final === undefined) {
			const running = this.jobs.get(c.uid)?.running ?? 0
			if (!this.over.has(c.uid)) this.jobs.set(c.uid, { team: c.team, tasks: 5, done: c.done, running })
		} else if (!this.over.has(c.uid)) {
			this.jobs.delete(c.uid)
			const f = {
				uid: c.uid,
				team: c.team,
				state: c.final,
				revision: c.revision,
				taskCount: 5,
				doneCount: c.done,
			}
			this.over.set(c.uid, f)
			this.finals.add(f)
		}
		this.hub.jobChanged(c.uid)
	}

	run(uid: string, running: number | null): void {
		const job = this.jobs.get(uid)
		if (job !== undefined) job.running = running
	}

	revision(): number {
		return this.known
	}

	open(uid: string): OpenJob | undefined {
		return this.jobs.get(uid)
	}

	*openOf(team: string): Iterable<string> {
		for (const [uid, j] of this.jobs) if (j.team === team) yield uid
	}

	*running(): Iterable<[string, number]> {
		for (const [uid, j] of this.jobs) if (j.running !== null && j.running > 0) yield [uid, j.running]
	}

	subscribe(selection: Selection, cursor = ''): Subscription {
		const s = this.hub.subscribe(selection, cursor, { wake: () => {}, ended: () => {} })
		assert.ok(typeof s !== 'string', String(s))
		return s
	}
}

const drain = (s: Subscription, most = Number.POSITIVE_INFINITY): JobEvent[] => {
	const out: JobEvent[] = []
	while (out.length < most) {
		const e = s.next()
		if (e === null) break
		out.push(e)
	}
	return out
}
const brief = (events: readonly JobEvent[]) => events.map((e) => `${e.uid} ${e.state} ${e.done}`)

test('the present state first, then changes, the latest of each job, and final states in their order', () => {
	const book = new Book()
	book.change('job-000002', 'a', 0)
	book.change('job-000001', 'a', 5, 'done')
	book.change('job-000003', 'a', 0)
	const node = new Node(book)
	node.read()
	const uids = ['job-000003', 'job-000001', 'job-000002', 'job-000009']
	const named = node.subscribe({ uids })
	const team = node.subscribe({ team: 'a' })
	assert.deepEqual(brief(drain(named)), ['job-000001 done 5', 'job-000002 pending 0', 'job-000003 pending 0'])
	assert.deepEqual(brief(drain(team)), ['job-000002 pending 0', 'job-000003 pending 0'], 'what is not over')
	node.run('job-000002', 2)
	node.hub.look()
	node.run('job-000002', 3)
	book.change('job-000002', 'a', 1)
	node.read()
	node.hub.look()
	assert.deepEqual(
		brief(drain(team)),
		['job-000002 running 1'],
		'states that nobody took are told as the latest',
	)
	// After a takeover nobody knows for a while what runs: that is no news.
	node.run('job-000002', null)
	node.hub.look()
	assert.deepEqual(drain(team), [])
	book.change('job-000003', 'a', 2, 'aborted')
	book.change('job-000002', 'a', 5, 'done', true)
	book.change('job-000009', 'b', 0)
	node.read()
	node.hub.look()
	assert.deepEqual(brief(drain(team)), ['job-000002 done 5', 'job-000003 cancelled 2'])
	assert.deepEqual(brief(drain(named)), [
		'job-000002 done 5',
		'job-000003 cancelled 2',
		'job-000009 pending 0',
	])
	assert.equal(named.finished, false)
	book.change('job-000009', 'b', 5, 'done')
	node.read()
	assert.deepEqual(brief(drain(named)), ['job-000009 done 5'])
	assert.equal(named.finished, true, 'nothing more can come')
})

test('a final state is told only once all that came before it is known', () => {
	const book = new Book()
	book.change('job-000001', 'a', 0)
	book.change('job-000002', 'a', 0)
	const node = new Node(book)
	node.read()
	for (const selection of [{ team: 'a' }, { uids: ['job-000001', 'job-000002'] }] as Selection[]) {
		const s = node.subscribe(selection)
		drain(s)
	}
	const streams = [node.subscribe({ team: 'a' }), node.subscribe({ uids: ['job-000001', 'job-000002'] })]
	for (const s of streams) drain(s)
	book.change('job-000002', 'a', 5, 'done')
	book.change('job-000001', 'a', 5, 'done')
	// Its own write, the later one, is confirmed before the watch tells the earlier.
	node.take(book.log[book.log.length - 1])
	node.hub.advanced()
	for (const s of streams) assert.deepEqual(drain(s), [])
	node.read()
	for (const s of streams) assert.deepEqual(brief(drain(s)), ['job-000002 done 5', 'job-000001 done 5'])
})

test('over kills at any moment each final state is told once, none is lost, no state goes back', () => {
	for (let seed = 1; seed <= 60; seed++) {
		const rng = xoroshiro128plus(seed)
		const below = (n: number) => uniformInt(rng, 0, n - 1)
		const book = new Book()
		const nodes = [new Node(book), new Node(book), new Node(book)]
		const uids = Array.from({ length: 30 }, (_, i) => `job-${String(100_000 + i * 7919).padStart(6, '0')}`)
		const open = new Map<string, number>()
		const selection: Selection = seed % 2 === 0 ? { team: 'a' } : { uids: uids.slice(0, 25) }
		const mine = new Set('team' in selection ? uids : selection.uids)
		let node = nodes[0]
		let cursor = ''
		let s = node.subscribe(selection)
		const told = new Map<string, string>()
		const done = new Map<string, number>()
		const started = new Set<string>()
		const hear = (e: JobEvent) => {
			assert.ok(mine.has(e.uid), 'only what was asked for')
			assert.ok(!told.has(e.uid), `seed ${seed}: ${e.uid} told as ${e.state} after ${told.get(e.uid)}`)
			assert.ok(e.done >= (done.get(e.uid) ?? 0), `seed ${seed}: ${e.uid} went back`)
			done.set(e.uid, e.done)
			if (e.state === 'done' || e.state === 'cancelled') told.set(e.uid, e.state)
			cursor = e.cursor
		}
		const resume = () => {
			node = nodes[below(3)]
			// Whoever goes on reads up to the present first.
			node.read()
			if (cursor === '') for (const uid of told.keys()) told.delete(uid)
			s = node.subscribe(selection, cursor)
		}
		for (let step = 0; step < 400; step++) {
			const uid = uids[below(uids.length)]
			const kind = below(10)
			if (kind < 3) {
				const was = open.get(uid)
				if (was === undefined && !started.has(uid)) {
					started.add(uid)
					open.set(uid, 0)
					book.change(uid, 'a', 0)
				} else if (was !== undefined && was < 4) {
					open.set(uid, was + 1)
					book.change(uid, 'a', was + 1)
				} else if (was !== undefined) {
					open.delete(uid)
					// Several outcomes may share one transaction, and with it an revision.
					book.change(
						uid,
						'a',
						5,
						below(4) === 0 ? 'aborted' : 'done',
						below(2) === 0 && book.revision > node.revision(),
					)
				}
			} else if (kind < 5) nodes[below(3)].read(book.revision - below(3))
			else if (kind < 6) for (const n of nodes) n.hub.look()
			else if (kind < 7) node.run(uid, [null, 0, 1, 2][below(4)])
			else if (kind < 9) for (const e of drain(s, 1 + below(4))) hear(e)
			else {
				if (below(2) === 0) s.end(null)
				else node.hub.endAll('not serving')
				resume()
			}
		}
		resume()
		for (const n of nodes) {
			n.read()
			n.hub.look()
		}
		for (const e of drain(s)) hear(e)
		const ended = book.log.filter((c) => c.final !== undefined && mine.has(c.uid))
		// A team's stream begins with what is not over: what ended before its first event is not told.
		if ('uids' in selection)
			assert.deepEqual([...told.keys()].sort(), ended.map((c) => c.uid).sort(), `seed ${seed}`)
		else for (const c of ended) if (done.has(c.uid)) assert.ok(told.has(c.uid), `seed ${seed}: ${c.uid} lost`)
	}
})

test('a cursor is good at every controller of its installation, for its own selection, and for nothing else', () => {
	const book = new Book()
	book.change('job-000001', 'a', 0)
	const [one, other] = [new Node(book), new Node(book)]
	const elsewhere = new Node(book, 1000, 'there')
	for (const n of [one, other, elsewhere]) n.read()
	const [{ cursor }] = drain(one.subscribe({ team: 'a' }), 1)
	other.subscribe({ team: 'a' }, cursor)
	const later = new Cursors('here', { team: 'a' }).write({ phase: 'live', revision: 99, uid: '~' })
	const cases: [name: string, node: Node, selection: Selection, cursor: string, says: string][] = [
		['another installation', elsewhere, { team: 'a' }, cursor, 'invalid cursor'],
		['another team', other, { team: 'b' }, cursor, 'invalid cursor'],
		['jobs instead', other, { uids: ['job-000001'] }, cursor, 'invalid cursor'],
		['made up', other, { team: 'a' }, '1.l.zz.~.aaaaaaaaaaaaaaaa', 'invalid cursor'],
		['one character changed', other, { team: 'a' }, cursor.replace('.p.', '.l.'), 'invalid cursor'],
		['cut short', other, { team: 'a' }, cursor.slice(0, -1), 'invalid cursor'],
		['no cursor at all', other, { team: 'a' }, 'x'.repeat(5000), 'invalid cursor'],
		['of an revision that is yet to come', other, { team: 'a' }, later, 'out of range'],
	]
	for (const [name, node, selection, text, says] of cases)
		assert.equal(node.hub.subscribe(selection, text, { wake: () => {}, ended: () => {} }), says, name)
})

test('a stream that dies before its first event goes on from where it began', () => {
	for (const selection of [{ team: 'a' }, { uids: ['job-000001'] }] as Selection[]) {
		const book = new Book()
		book.change('job-000001', 'a', 0)
		const [one, other] = [new Node(book), new Node(book)]
		one.read()
		const s = one.subscribe(selection)
		const cursor = s.cursor()
		s.end(null)
		book.change('job-000001', 'a', 5, 'done')
		other.read()
		assert.deepEqual(brief(drain(other.subscribe(selection, cursor))), ['job-000001 done 5'])
	}
})

test('who is behind what is kept begins anew, who is not does not', () => {
	const book = new Book()
	for (let i = 0; i < 40; i++) book.change(`job-00${1000 + i}`, i < 20 ? 'a' : 'b', 0)
	const node = new Node(book, 8)
	node.read()
	const streams = [node.subscribe({ team: 'a' }), node.subscribe({ team: 'b' })]
	const cursors = streams.map((s) => drain(s).pop()!.cursor)
	for (let i = 0; i < 20; i++) book.change(`job-00${1000 + i}`, 'a', 5, 'done')
	node.read()
	assert.deepEqual(drain(streams[0]), [], 'it is too far behind')
	assert.equal(streams[0].ended, 'too far behind')
	assert.equal(
		node.hub.subscribe({ team: 'a' }, cursors[0], { wake: () => {}, ended: () => {} }),
		'out of range',
	)
	// Of this team nothing was dropped, however much the others brought.
	book.change('job-001020', 'b', 5, 'done')
	node.read()
	assert.deepEqual(brief(drain(node.subscribe({ team: 'b' }, cursors[1]), 1)), ['job-001020 done 5'])
	// A named job's final state is found however old it is.
	assert.deepEqual(brief(drain(node.subscribe({ uids: ['job-001000'] }))), ['job-001000 done 5'])
})

test('a change costs the same however many streams there are, and a stalled one costs what a live one does', () => {
	const cost = (streams: number, stalled: boolean) => {
		const book = new Book()
		for (let i = 0; i < 200; i++) book.change(`job-00${1000 + i}`, 'a', 0)
		const node = new Node(book)
		node.read()
		const all = Array.from({ length: streams }, () => node.subscribe({ team: 'a' }))
		for (const s of all) drain(s)
		let reads = 0
		const open = node.open.bind(node)
		node.open = (uid) => {
			reads++
			return open(uid)
		}
		for (let round = 0; round < 50; round++) {
			for (let i = 0; i < 10; i++) book.change(`job-00${1000 + i}`, 'a', round)
			node.read()
			node.hub.look()
			if (!stalled) for (const s of all) drain(s)
		}
		const before = reads
		const left = stalled ? drain(all[0]).length : 0
		return { reads: before, left }
	}
	const [one, many] = [cost(1, true), cost(500, true)]
	assert.equal(many.reads, one.reads, 'the work of changes does not know the streams')
	assert.equal(one.left, 10, 'one that took nothing for 500 changes is told ten states')
})

test('streams are admitted within bounds, and those sent away come back one after the other', () => {
	let now = 0
	const limits = { streams: 10, teamStreams: 6, uids: 4, watched: 12, opensPerS: 5 }
	const gate = new Admission(limits, () => now)
	assert.equal(gate.enter('a', 5)?.why, 'too many ids')
	for (let i = 0; i < 5; i++) assert.equal(gate.enter('a', 0), null)
	const away = Array.from({ length: 40 }, () => gate.enter('b', 0))
	assert.ok(away.every((r) => r?.why === 'too many begin'))
	const times = away.map((r) => r!.retryAfterMs)
	assert.ok(times.every((ms) => ms >= 1000 && ms <= 30_000))
	assert.equal(new Set(times).size, times.length, 'each has a time of its own')
	now += 1000
	assert.equal(gate.enter('a', 0), null)
	assert.equal(gate.enter('a', 0)?.why, 'too many streams', "a team's share")
	for (const n of [4, 4, 4]) assert.equal(gate.enter('b', n), null)
	assert.equal(gate.enter('c', 1)?.why, 'too many streams', 'ids in all')
	assert.equal(gate.enter('c', 0), null)
	assert.equal(gate.enter('c', 0)?.why, 'too many streams', 'streams in all')
	gate.leave('b', 4)
	now += 1000
	assert.equal(gate.enter('c', 4), null, 'a place that was left is free')
})

test('a burst for many readers is sent in turns', () => {
	const turns: (() => void)[] = []
	const pump = new Pump(10, (run) => turns.push(run))
	const sent: number[] = []
	const senders = Array.from({ length: 5 }, (_, i) => {
		let left = i === 0 ? 1000 : 4
		return {
			send: () => {
				sent.push(i)
				return --left > 0
			},
		}
	})
	for (const s of senders) pump.wake(s)
	let longest = 0
	for (let n = 0; n < 3; n++) {
		const before = sent.length
		turns.shift()!()
		longest = Math.max(longest, sent.length - before)
	}
	assert.equal(longest, 10, 'no turn is longer')
	for (let i = 1; i < 5; i++)
		assert.equal(sent.filter((x) => x === i).length, 4, 'the busy one holds up nobody')
	assert.ok(comparePositions({ revision: 1, uid: 'b' }, { revision: 1, uid: 'a' }) > 0)
})

import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	type AcceptedJobRecord,
	decodeJobRecord,
	decodeShardOwner,
	encodeAcceptedBatch,
	HISTORY_KEY,
	JobRegistry,
	moveJobToShard,
	shardKey,
} from '@heathroad/cluster'
import { worthMigrating } from '@heathroad/policy'
import { KEY_PREFIX, type TransactionContent, WatchCache } from '@heathroad/store'
import { arrayJob, explore } from '@heathroad/testkit'

// Controller 0 owns part 0 with a job that it moves to part 1, which controller 1 owns; controller 2 may take part 0
// from it. Writes are applied at any later moment or never, answers come or are lost, and each controller sees changes
// when it does. The write is the service's own. A task must never run in two parts, and what was cancelled stays so.

const JOB = 'job-000001'
type Keys = Record<string, { data: unknown; modRevision: number }>
type Result = 'ok' | 'conflict'
interface State {
	revision: number
	keys: Keys
	views: { revision: number; keys: Keys }[]
	/** the mover's writes under way, each with the number of its try */
	pending: { n: number; content: TransactionContent }[]
	/** the answer on its way back to it; those to earlier tries nobody waits for any more */
	answer: Result | null
	moving: boolean
	tries: number
	running: [boolean, boolean]
	takes: number
	cancelled: boolean
}
type Fault =
	| 'ownership'
	| "job's own key"
	| 'wait for changes before the take'
	| 'proof after a lost answer'
	| 'none'

const record: AcceptedJobRecord = { shardId: 0, spec: arrayJob(JOB, { tasks: 1 }), acceptedAtMs: 0 }
const keyOf = (s: State) => JSON.stringify(s)

const books = new WeakMap<Keys, { mirror: WatchCache; book: JobRegistry }>()
const read = ({ revision, keys }: { revision: number; keys: Keys }) => {
	const known = books.get(keys)
	if (known !== undefined) return known
	const cache: WatchCache = new WatchCache(
		(key, entry) => {
			if (key.startsWith('intake/')) book.onBatchAccepted(entry?.data)
			const own = key.startsWith('job/') ? decodeJobRecord(entry?.data) : null
			if (own !== null) book.onJobRecordChanged(JOB, own)
		},
		0,
		() => 0,
	)
	const book = new JobRegistry(cache)
	// What a controller wrote itself it knows before all that came earlier.
	const all = Object.entries(keys).map(([key, e]) => ({ key: KEY_PREFIX + key, ...e }))
	cache.replaceAll(Math.max(revision, ...all.map((e) => e.modRevision)), all)
	const made = { mirror: cache, book }
	books.set(keys, made)
	return made
}

const model = (fault: Fault) => {
	const keys: Keys = {
		[shardKey(0)]: { data: { owner: '0', life: 'a' }, modRevision: 1 },
		[shardKey(1)]: { data: { owner: '1', life: 'b' }, modRevision: 2 },
		[HISTORY_KEY]: { data: { form: 2, turn: 1, legacy: false }, modRevision: 3 },
		'intake/a-1': { data: encodeAcceptedBatch([record]), modRevision: 4 },
	}
	const start: State = {
		revision: 4,
		keys,
		views: [0, 1, 2].map(() => ({ revision: 4, keys })),
		pending: [],
		answer: null,
		moving: false,
		tries: 0,
		running: [false, false],
		takes: 0,
		cancelled: false,
	}
	const owner = (all: Keys, part: number) => Number(decodeShardOwner(all[shardKey(part)]?.data)?.owner ?? -1)
	const content = (s: State): TransactionContent | null => {
		const { mirror: cache, book } = read(s.views[0])
		const known = book.get(JOB)
		if (known?.record.shardId !== 0 || known.record.finalState !== undefined) return null
		const owning = { key: KEY_PREFIX + shardKey(0), modRevision: 1 }
		const made = moveJobToShard(cache, owning, JOB, known, 1)
		const without = fault === 'ownership' ? shardKey(0) : fault === "job's own key" ? `job/${JOB}` : null
		return { ...made, conditions: made.conditions.filter((c) => c.key !== KEY_PREFIX + without) }
	}
	const mayStart = (s: State, part: number, c: number): boolean => {
		const v = s.views[c]
		const token = v.keys[shardKey(part)]?.modRevision ?? 0
		// The right to act ends before anybody else can have taken the part.
		if (owner(s.keys, part) !== c || owner(v.keys, part) !== c || s.running[part]) return false
		if (fault !== 'wait for changes before the take' && v.revision < token) return false
		return !(c === 0 && s.moving) && read(v).book.get(JOB)?.record.shardId === part
	}
	const starts = [
		[0, 0],
		[0, 2],
		[1, 1],
	] as const
	const seen = (s: State, c: number): State['views'] =>
		s.views.map((v, i) => (i === c ? { revision: s.revision, keys: s.keys } : v))
	const sent = (s: State): State => {
		const n = s.tries + 1
		return {
			...s,
			tries: n,
			moving: true,
			answer: null,
			pending: [...s.pending, { n, content: content(s)! }],
		}
	}
	/** What the mover does after a read that proves what the records say. */
	const settled = (s: State, conflict: boolean): State => {
		const now = { ...s, views: seen(s, 0), answer: null }
		return conflict || content(now) === null ? { ...now, moving: false } : sent(now)
	}
	return {
		start,
		*actions(s: State): Iterable<string> {
			if (!s.moving && s.tries < 2 && !s.running[0] && owner(s.keys, 0) === 0 && content(s) !== null)
				yield 'move'
			for (const i of s.pending.keys()) yield `applied ${i}`
			if (s.answer !== null) yield 'answer'
			if (s.moving && s.tries < 3) yield 'lost'
			if (!s.cancelled) yield 'cancel'
			if (s.takes < 1 && owner(s.keys, 0) === 0) yield 'take'
			for (const c of [0, 1, 2]) if (s.views[c].revision < s.revision) yield `sees ${c}`
			for (const [part, c] of starts) if (mayStart(s, part, c)) yield `start ${part} ${c}`
			for (const part of [0, 1]) if (s.running[part]) yield `ends ${part}`
		},
		step(s: State, action: string): State {
			const [verb, a, b] = action.split(' ')
			if (verb === 'move') return sent(s)
			if (verb === 'applied') {
				const { n, content: one } = s.pending[Number(a)]
				const answer = (r: Result) => (s.moving && n === s.tries ? r : s.answer)
				const pending = s.pending.filter((_, i) => i !== Number(a))
				const modRevision = (key: string) => s.keys[key.slice(KEY_PREFIX.length)]?.modRevision ?? 0
				if (one.conditions.some((c) => modRevision(c.key) !== c.modRevision))
					return { ...s, pending, answer: answer('conflict') }
				const revision = s.revision + 1
				const after = { ...s.keys }
				for (const c of one.mutations)
					if ('set' in c) after[c.set.slice(KEY_PREFIX.length)] = { data: c.data, modRevision: revision }
				return { ...s, pending, revision, keys: after, answer: answer('ok') }
			}
			// Carried out, it is known; refused, a read shows by what.
			if (verb === 'answer') return settled(s, true)
			if (verb === 'lost')
				return fault === 'proof after a lost answer'
					? { ...s, answer: null, moving: false }
					: settled(s, false)
			if (verb === 'sees') return { ...s, views: seen(s, Number(a)) }
			if (verb === 'cancel') {
				// Made by whoever knows the latest; told to its user, it stays.
				const revision = s.revision + 1
				const part = read(s).book.get(JOB)!.record.shardId
				const key = `job/${JOB}`
				const final = { data: { part, final: 'aborted', tasks: 1, count: 0 }, modRevision: revision }
				return { ...s, revision, cancelled: true, keys: { ...s.keys, [key]: final } }
			}
			if (verb === 'take') {
				const revision = s.revision + 1
				const mine = { data: { owner: '2', life: 'c' }, modRevision: revision }
				const views = s.views.map((v, i) =>
					i === 2 ? { ...v, keys: { ...v.keys, [shardKey(0)]: mine } } : v,
				)
				return { ...s, revision, takes: 1, keys: { ...s.keys, [shardKey(0)]: mine }, views }
			}
			const running: [boolean, boolean] = [...s.running]
			running[Number(a)] = verb === 'start' && b !== undefined
			return { ...s, running }
		},
		wrong: (s: State): string | null => {
			if (s.running[0] && s.running[1]) return 'the task runs in both parts'
			const open = read(s).book.get(JOB)?.record.finalState === undefined
			return s.cancelled && open ? 'a cancelled job is open again' : null
		},
		key: keyOf,
	}
}

for (const fault of [
	'none',
	'ownership',
	"job's own key",
	'wait for changes before the take',
	'proof after a lost answer',
] as const)
	test(`a job moves to another part, every history: ${fault === 'none' ? 'none is forbidden' : `without the ${fault} one is`}`, () => {
		const { states, fault: found } = explore(model(fault), 400_000)
		if (fault === 'none') assert.deepEqual(found, null)
		else assert.ok(found !== null, `${states} states, and no fault`)
		assert.ok(fault !== 'none' || states > 1000, `${states} states`)
	})

test('when moving a waiting job is worth it', () => {
	const room = (cpus: number, work: number, partitioned = false) => ({ cpus, work, partitioned })
	const rows: [
		string,
		Parameters<typeof worthMigrating>[0],
		Parameters<typeof worthMigrating>[1],
		boolean,
	][] = [
		['from machines out of reach to any that are not', room(800, 100, true), room(800, 9000), true],
		['never to machines out of reach', room(8, 9000), room(800, 0, true), false],
		['not between parts nearly alike', room(800, 9000), room(800, 5000), false],
		['where it waits a small part of the time', room(80, 9000), room(800, 9000), true],
		['not to a part that has as much to do and nothing to do it with', room(0, 9000), room(0, 9000), false],
	]
	for (const [name, from, to, moves] of rows) assert.equal(worthMigrating(from, to, 8), moves, name)
})

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { asJob, asPart, HISTORY, JobBook, type JobRecord, partKey, relocation } from '@heathroad/cluster'
import { worthMoving } from '@heathroad/policy'
import { type Content, Mirror, ROOT } from '@heathroad/store'
import { explore, sweep } from '@heathroad/testkit'

// Controller 0 owns part 0 with a job that it moves to part 1, which controller 1 owns; controller 2 may take part 0
// from it. Writes are applied at any later moment or never, answers come or are lost, and each controller sees changes
// when it does. The write is the service's own. A task must never run in two parts, and what was cancelled stays so.

const JOB = 'job-000001'
type Keys = Record<string, { data: unknown; stamp: number }>
type Result = 'ok' | 'conflict'
interface State {
	epoch: number
	keys: Keys
	views: { epoch: number; keys: Keys }[]
	/** the mover's writes under way, each with the number of its try */
	pending: { n: number; content: Content }[]
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

const record: JobRecord = { part: 0, spec: sweep(JOB, { tasks: 1 }), at: 0 }
const keyOf = (s: State) => JSON.stringify(s)

const books = new WeakMap<Keys, { mirror: Mirror; book: JobBook }>()
const read = ({ epoch, keys }: { epoch: number; keys: Keys }) => {
	const known = books.get(keys)
	if (known !== undefined) return known
	const mirror: Mirror = new Mirror(
		(key, entry) => {
			if (key.startsWith('intake/')) book.arrived(entry?.data)
			const own = key.startsWith('job/') ? asJob(entry?.data) : null
			if (own !== null) book.changed(JOB, own)
		},
		0,
		() => 0,
	)
	const book = new JobBook(mirror)
	// What a controller wrote itself it knows before all that came earlier.
	const all = Object.entries(keys).map(([key, e]) => ({ key: ROOT + key, ...e }))
	mirror.replace(Math.max(epoch, ...all.map((e) => e.stamp)), all)
	const made = { mirror, book }
	books.set(keys, made)
	return made
}

const model = (fault: Fault) => {
	const keys: Keys = {
		[partKey(0)]: { data: { owner: '0', life: 'a' }, stamp: 1 },
		[partKey(1)]: { data: { owner: '1', life: 'b' }, stamp: 2 },
		[HISTORY]: { data: { form: 2, turn: 1, legacy: false }, stamp: 3 },
		'intake/a-1': { data: { jobs: [record] }, stamp: 4 },
	}
	const start: State = {
		epoch: 4,
		keys,
		views: [0, 1, 2].map(() => ({ epoch: 4, keys })),
		pending: [],
		answer: null,
		moving: false,
		tries: 0,
		running: [false, false],
		takes: 0,
		cancelled: false,
	}
	const owner = (all: Keys, part: number) => Number(asPart(all[partKey(part)]?.data)?.owner ?? -1)
	const content = (s: State): Content | null => {
		const { mirror, book } = read(s.views[0])
		const known = book.get(JOB)
		if (known?.record.part !== 0 || known.record.final !== undefined) return null
		const owning = { key: ROOT + partKey(0), stamp: 1 }
		const made = relocation(mirror, owning, JOB, known, 1)
		const without = fault === 'ownership' ? partKey(0) : fault === "job's own key" ? `job/${JOB}` : null
		return { ...made, conditions: made.conditions.filter((c) => c.key !== ROOT + without) }
	}
	const mayStart = (s: State, part: number, c: number): boolean => {
		const v = s.views[c]
		const token = v.keys[partKey(part)]?.stamp ?? 0
		// The right to act ends before anybody else can have taken the part.
		if (owner(s.keys, part) !== c || owner(v.keys, part) !== c || s.running[part]) return false
		if (fault !== 'wait for changes before the take' && v.epoch < token) return false
		return !(c === 0 && s.moving) && read(v).book.get(JOB)?.record.part === part
	}
	const starts = [
		[0, 0],
		[0, 2],
		[1, 1],
	] as const
	const seen = (s: State, c: number): State['views'] =>
		s.views.map((v, i) => (i === c ? { epoch: s.epoch, keys: s.keys } : v))
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
			for (const c of [0, 1, 2]) if (s.views[c].epoch < s.epoch) yield `sees ${c}`
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
				const stamp = (key: string) => s.keys[key.slice(ROOT.length)]?.stamp ?? 0
				if (one.conditions.some((c) => stamp(c.key) !== c.stamp))
					return { ...s, pending, answer: answer('conflict') }
				const epoch = s.epoch + 1
				const after = { ...s.keys }
				for (const c of one.changes)
					if ('set' in c) after[c.set.slice(ROOT.length)] = { data: c.data, stamp: epoch }
				return { ...s, pending, epoch, keys: after, answer: answer('ok') }
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
				const epoch = s.epoch + 1
				const part = read(s).book.get(JOB)!.record.part
				const key = `job/${JOB}`
				const final = { data: { part, final: 'aborted', tasks: 1, count: 0 }, stamp: epoch }
				return { ...s, epoch, cancelled: true, keys: { ...s.keys, [key]: final } }
			}
			if (verb === 'take') {
				const epoch = s.epoch + 1
				const mine = { data: { owner: '2', life: 'c' }, stamp: epoch }
				const views = s.views.map((v, i) => (i === 2 ? { ...v, keys: { ...v.keys, [partKey(0)]: mine } } : v))
				return { ...s, epoch, takes: 1, keys: { ...s.keys, [partKey(0)]: mine }, views }
			}
			const running: [boolean, boolean] = [...s.running]
			running[Number(a)] = verb === 'start' && b !== undefined
			return { ...s, running }
		},
		wrong: (s: State): string | null => {
			if (s.running[0] && s.running[1]) return 'the task runs in both parts'
			const open = read(s).book.get(JOB)?.record.final === undefined
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
	const room = (cpus: number, work: number, stranded = false) => ({ cpus, work, stranded })
	const rows: [string, Parameters<typeof worthMoving>[0], Parameters<typeof worthMoving>[1], boolean][] = [
		['from machines out of reach to any that are not', room(800, 100, true), room(800, 9000), true],
		['never to machines out of reach', room(8, 9000), room(800, 0, true), false],
		['not between parts nearly alike', room(800, 9000), room(800, 5000), false],
		['where it waits a small part of the time', room(80, 9000), room(800, 9000), true],
		['not to a part that has as much to do and nothing to do it with', room(0, 9000), room(0, 9000), false],
	]
	for (const [name, from, to, moves] of rows) assert.equal(worthMoving(from, to, 8), moves, name)
})

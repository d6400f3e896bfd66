import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	decodeReleasePage,
	decodeShardOwner,
	markReleased,
	releasePageKey,
	shardKey,
} from '@heathroad/cluster'
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import { explore } from '@heathroad/testkit'

// Controller 0 owns part 0 with two jobs that wait for a check, and marks those released that the check lets go;
// controller 1 may take the part from it, and its check may say otherwise. Writes are applied at any later moment or never,
// answers are lost, each sees changes when it does. The write is the service's own.

const JOBS = ['job-000001', 'job-000002'] as const
type Keys = Record<string, { data: unknown; modRevision: number }>
interface State {
	revision: number
	keys: Keys
	views: { revision: number; keys: Keys }[]
	pending: { by: number; content: TransactionContent }[]
	/** jobs that each controller was told to release, and those that controller 1 was told to hold */
	passed: [string[], string[]]
	held: string[]
	/** has each a write whose answer it waits for? */
	waits: [boolean, boolean]
	sent: number
	taken: boolean
	started: string[]
}
type Fault = 'none' | 'ownership' | "page's modRevision"

const marks = (keys: Keys): string[] => decodeReleasePage(keys[releasePageKey(0, 0)]?.data) ?? []
const owner = (keys: Keys): number => Number(decodeShardOwner(keys[shardKey(0)]?.data)?.owner)

const model = (fault: Fault) => {
	const keys: Keys = { [shardKey(0)]: { data: { owner: '0', life: 'a' }, modRevision: 1 } }
	const start: State = {
		revision: 1,
		keys,
		views: [0, 1].map(() => ({ revision: 1, keys })),
		pending: [],
		passed: [[], []],
		held: [],
		waits: [false, false],
		sent: 0,
		taken: false,
		started: [],
	}
	const token = (s: State, c: number) => s.views[c].keys[shardKey(0)].modRevision
	const owns = (s: State, c: number) => owner(s.views[c].keys) === c
	/** knows all that came before its take */
	const knows = (s: State, c: number) => owns(s, c) && s.views[c].revision >= token(s, c)
	const open = (s: State, c: number) => s.passed[c].filter((j) => !marks(s.views[c].keys).includes(j))
	const content = (s: State, c: number): TransactionContent => {
		const view = s.views[c].keys
		const known = { get: (k: string) => view[k], modRevision: (k: string) => view[k]?.modRevision ?? 0 }
		const made = markReleased(known, 0, open(s, c), () => true, { room: 1000, ops: 1 }).content
		const owning = { key: KEY_PREFIX + shardKey(0), modRevision: token(s, c) }
		const without =
			fault === 'ownership' ? shardKey(0) : fault === "page's modRevision" ? releasePageKey(0, 0) : ''
		return { ...made, conditions: [owning, ...made.conditions].filter((x) => x.key !== KEY_PREFIX + without) }
	}
	const seen = (s: State, c: number) =>
		s.views.map((v, i) => (i === c ? { revision: s.revision, keys: s.keys } : v))
	const two = <A>(pair: [A, A], c: number, value: A): [A, A] =>
		c === 0 ? [value, pair[1]] : [pair[0], value]
	return {
		start,
		*actions(s: State): Iterable<string> {
			for (const c of [0, 1]) {
				if (!owns(s, c)) continue
				for (const j of JOBS) {
					const said = s.passed[c].includes(j) || (c === 1 && s.held.includes(j))
					const asked = knows(s, c) && !marks(s.views[c].keys).includes(j)
					if (asked && !said) yield `released ${c} ${j}`
					if (asked && !said && c === 1) yield `hold ${c} ${j}`
					const marked = marks(s.views[c].keys).includes(j)
					// The right to act ends before anybody else can have taken the part.
					if (knows(s, c) && owner(s.keys) === c && marked && !s.started.includes(j)) yield `start ${c} ${j}`
				}
				if (!s.waits[c] && open(s, c).length > 0 && s.sent < 3) yield `send ${c}`
			}
			for (const i of s.pending.keys()) yield `applied ${i}`
			for (const c of [0, 1]) {
				if (s.waits[c]) yield `lost ${c}`
				if (s.views[c].revision < s.revision) yield `sees ${c}`
			}
			if (!s.taken) yield 'take'
		},
		step(s: State, action: string): State {
			const [verb, a, job] = action.split(' ')
			const c = Number(a)
			if (verb === 'released') return { ...s, passed: two(s.passed, c, [...s.passed[c], job].sort()) }
			if (verb === 'hold') return { ...s, held: [...s.held, job].sort() }
			if (verb === 'start') return { ...s, started: [...s.started, job].sort() }
			if (verb === 'sees') return { ...s, views: seen(s, c) }
			// No answer: a read shows what the records say, and what is still open goes again.
			if (verb === 'lost') return { ...s, waits: two(s.waits, c, false), views: seen(s, c) }
			if (verb === 'send')
				return {
					...s,
					sent: s.sent + 1,
					waits: two(s.waits, c, true),
					pending: [...s.pending, { by: c, content: content(s, c) }],
				}
			const revision = s.revision + 1
			if (verb === 'take') {
				const data = { owner: '1', life: 'b' }
				const own = { [shardKey(0)]: { data, modRevision: revision } }
				// Its own take it knows before all that came earlier.
				const views = s.views.map((v, i) => (i === 1 ? { ...v, keys: { ...v.keys, ...own } } : v))
				return { ...s, revision, taken: true, views, keys: { ...s.keys, ...own } }
			}
			const { content: one } = s.pending[c]
			const pending = s.pending.filter((_, i) => i !== c)
			const modRevision = (key: string) => s.keys[key.slice(KEY_PREFIX.length)]?.modRevision ?? 0
			if (one.conditions.some((x) => modRevision(x.key) !== x.modRevision)) return { ...s, pending }
			const after = { ...s.keys }
			for (const x of one.mutations)
				if ('set' in x) after[x.set.slice(KEY_PREFIX.length)] = { data: x.data, modRevision: revision }
			return { ...s, revision, pending, keys: after }
		},
		wrong: (s: State): string | null => {
			if (s.started.some((j) => !marks(s.keys).includes(j)))
				return 'a job that has started would be held again'
			const undone = s.held.find((j) => marks(s.keys).includes(j))
			return undone === undefined ? null : 'released, though its owner was told to hold it'
		},
		key: (s: State) => JSON.stringify(s),
	}
}

for (const fault of ['none', 'ownership', "page's modRevision"] as const)
	test(`releases over a takeover, every history: ${fault === 'none' ? 'none is forbidden' : `without the ${fault} one is`}`, () => {
		const { states, fault: found } = explore(model(fault), 400_000)
		if (fault === 'none') {
			assert.deepEqual(found, null)
			assert.ok(states > 1000, `${states} states`)
		} else assert.ok(found !== null, `${states} states, and no fault`)
	})

import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	acceptance,
	asJob,
	ended,
	finalStates,
	HISTORY,
	JobBook,
	type JobRecord,
	leave,
	nextTurn,
	overKey,
	ownRecord,
	partKey,
} from '@heathroad/cluster'
import { leavable } from '@heathroad/server'
import { type Content, Mirror, ROOT } from '@heathroad/store'
import { explore, sweep } from '@heathroad/testkit'

// One job that two controllers may accept, cancel and finish, a second one whose end fills the page, a third one that
// controller 0 accepts beside the first, under records of its own that say nothing any more where it has some, and every
// write free to be applied at any later moment or never. Controller 0 owns the part. What the controllers write, and when a
// page may leave, is the service's own code.

const JOB = 'job-000001'
const OTHER = 'job-000002'
const NEXT = 'job-000003'
const ROOM = { value: 8000, jobs: 1 }
const record = (uid: string): JobRecord => ({ part: 0, spec: sweep(uid, { tasks: 1 }), at: 0 })

type Keys = Record<string, { data: unknown; stamp: number }>
interface Pending {
	what: string
	content: Content
}
interface State {
	epoch: number
	keys: Keys
	/** what each controller knows of the keys */
	views: { epoch: number; keys: Keys }[]
	pending: Pending[]
	archive: string[]
	/** told to somebody, for ever true */
	accepted: boolean
	final: string | null
	/** what may still happen, so that the model ends */
	left: Record<string, number>
	broken: string | null
}
type Fault =
	| 'turn of acceptances'
	| 'stamp of the record'
	| 'page'
	| 'turn before leaving'
	| 'records that name it'
	| 'none'

const views = new WeakMap<Keys, ReturnType<typeof makeView>>()
/** What somebody knows who has read the keys. */
const view = (s: { epoch: number; keys: Keys }) => {
	const known = views.get(s.keys) ?? makeView(s)
	views.set(s.keys, known)
	return known
}
const makeView = ({ epoch, keys }: { epoch: number; keys: Keys }) => {
	const mirror: Mirror = new Mirror(
		(key, entry, before) => {
			if (key.startsWith('over/')) book.paged(key, entry, before, mirror.epoch)
			else if (key.startsWith('intake/')) book.arrived(entry?.data)
			else if (key.startsWith('job/')) {
				const own = asJob(entry?.data)
				if (own !== null) book.changed(key.slice(4), own)
			}
		},
		0,
		() => 0,
	)
	const book = new JobBook(mirror)
	mirror.replace(
		epoch,
		Object.entries(keys).map(([key, e]) => ({ key: ROOT + key, ...e })),
	)
	book.settle()
	return { mirror, book }
}

const without = (content: Content, key: string): Content => ({
	...content,
	conditions: content.conditions.filter((c) => c.key !== ROOT + key),
})

const model = (fault: Fault, happens: Record<string, number>) => {
	const start: State = {
		epoch: 3,
		keys: {
			[partKey(0)]: { data: { owner: 'ctl-0', life: 'a' }, stamp: 1 },
			[HISTORY]: { data: { form: 2, turn: 1, legacy: false }, stamp: 2 },
			'intake/before': { data: { jobs: [record(OTHER)] }, stamp: 3 },
		},
		views: [],
		pending: [],
		archive: [],
		accepted: false,
		final: null,
		left: happens,
		broken: null,
	}
	start.views = [0, 1].map(() => ({ epoch: start.epoch, keys: start.keys }))
	/** What a controller writes, as the service would; null: it has no cause to. */
	const made = (s: State, name: string): { content: Content; archives?: string[] } | null => {
		const c = name.endsWith('1') ? 1 : 0
		const { mirror, book } = view(s.views[c])
		const known = book.get(JOB)
		const open = known !== undefined && known.record.final === undefined
		const owning = { key: ROOT + partKey(0), stamp: mirror.stamp(partKey(0)) }
		const finals = (uid: string, how: 'done' | 'aborted') => {
			const { content } = finalStates(mirror, 0, [ended(uid, how, record(uid).spec, 1)], ROOM)
			return fault === 'page' ? without(content, overKey(0)) : content
		}
		/** Where an acceptance goes: 'intake/before' is controller 0's. */
		const accepts = (uid: string) => {
			const before = mirror.get('intake/before')
			const spent = c === 0 && before !== undefined && book.isSpent(before.data)
			const [key, stamp] = spent ? ['intake/before', before.stamp] : [`intake/${name}`, 0]
			const content = acceptance(mirror, key, [record(uid)], stamp)
			if (fault === 'stamp of the record') return { content: without(content, key) }
			return { content: fault === 'turn of acceptances' ? without(content, HISTORY) : content }
		}
		if (name.startsWith('accept')) {
			if (known !== undefined || s.archive.includes(JOB)) return null
			return accepts(JOB)
		}
		if (name === 'next0') return book.get(NEXT) === undefined ? accepts(NEXT) : null
		if (name === 'cancel1') {
			if (!open) return null
			const own = ownRecord(mirror, JOB, known.stamp, { part: 0, final: 'aborted', tasks: 1, count: 0 })
			const page = finals(JOB, 'aborted')
			return {
				content: {
					conditions: [...page.conditions, ...own.conditions],
					changes: [...page.changes, ...own.changes],
				},
			}
		}
		if (name === 'done' || name === 'other') {
			const uid = name === 'done' ? JOB : OTHER
			if (book.get(uid)?.record.final !== undefined || book.get(uid) === undefined) return null
			const content = finals(uid, 'done')
			return { content: { ...content, conditions: [owning, ...content.conditions] } }
		}
		if (name === 'progress') {
			if (!open) return null
			const content = ownRecord(mirror, JOB, known.stamp, { ...known.record, done: [] })
			return { content: { ...content, conditions: [owning, ...content.conditions] } }
		}
		if (name === 'turn') return { content: nextTurn(mirror, { form: 2, turn: 2, legacy: false }) }
		if (name === 'tidy') {
			const spent = [...book.spent()]
			return spent.length === 0
				? null
				: {
						content: {
							conditions: spent.map(([key, e]) => ({ key: ROOT + key, stamp: e.stamp })),
							changes: spent.map(([key]) => ({ delete: ROOT + key })),
						},
					}
		}
		const pages = [...mirror.under('over/0/')].map(([key, e]) => ({
			key,
			stamp: e.stamp,
			jobs: [...book.on(key)],
		}))
		const turn = fault === 'turn before leaving' ? Number.POSITIVE_INFINITY : mirror.stamp(HISTORY)
		const named = fault === 'records that name it' ? new Set<string>() : book.named()
		const ready = leavable(pages, turn, named, new Set(), 1)
		if (ready.length === 0) return null
		const keys = ready.map((p) => p.key)
		return { content: leave(mirror, 0, keys), archives: ready.flatMap((p) => p.jobs.map((j) => j.uid)) }
	}
	const check = (s: State): string | null => {
		const { book } = view(s)
		const final = book.final(JOB)?.record.final ?? null
		const archived = s.archive.includes(JOB)
		if (s.accepted && book.get(JOB) === undefined && !archived) return 'an accepted job is unknown'
		if (s.final === null) return null
		if (book.open.has(JOB)) return `${s.final}, and open again`
		if (final !== null && final !== s.final) return `${s.final}, then ${final}`
		return null
	}
	return {
		start,
		*actions(s: State): Iterable<string> {
			for (const name of Object.keys(s.left)) if (s.left[name] > 0 && made(s, name) !== null) yield name
			for (const c of [0, 1]) if (s.views[c].epoch < s.epoch) yield `sees ${c}`
			for (const [i] of s.pending.entries()) yield `applied ${i}`
		},
		step(s: State, action: string): State {
			if (action.startsWith('sees ')) {
				const c = Number(action.slice(5))
				const views = s.views.map((v, i) => (i === c ? { epoch: s.epoch, keys: s.keys } : v))
				return { ...s, views }
			}
			if (!action.startsWith('applied ')) {
				const { content, archives = [] } = made(s, action)!
				const left = { ...s.left, [action]: s.left[action] - 1 }
				const pending = [...s.pending, { what: action, content }]
				return { ...s, left, pending, archive: [...new Set([...s.archive, ...archives])] }
			}
			const i = Number(action.slice('applied '.length))
			const { what, content } = s.pending[i]
			const pending = s.pending.filter((_, j) => j !== i)
			const stamp = (key: string) => s.keys[key.slice(ROOT.length)]?.stamp ?? 0
			if (content.conditions.some((c) => stamp(c.key) !== c.stamp)) return { ...s, pending }
			const epoch = s.epoch + 1
			const keys = { ...s.keys }
			for (const c of content.changes)
				if ('set' in c) keys[c.set.slice(ROOT.length)] = { data: c.data, stamp: epoch }
				else delete keys[c.delete.slice(ROOT.length)]
			const final = what === 'done' ? 'done' : what === 'cancel1' ? 'aborted' : s.final
			const next = { ...s, epoch, keys, pending, final, accepted: s.accepted || what.startsWith('accept') }
			const broken = s.final !== null && final !== s.final ? `${s.final}, then ${final}` : null
			return { ...next, broken: s.broken ?? broken ?? check(next) }
		},
		wrong: (s: State) => s.broken,
		key: (s: State) => JSON.stringify(s),
	}
}

const LATE = { accept0: 1, accept1: 1, done: 1, other: 1, turn: 1, tidy: 1, leave: 1 }
const UNTIDY = { accept0: 1, done: 1, other: 1, turn: 1, leave: 1 }
const REUSED = { accept0: 1, next0: 1, done: 1, other: 1, tidy: 1, turn: 1 }
const AGAINST = { accept0: 1, cancel1: 1, done: 1, other: 1, progress: 1 }

for (const [fault, happens, found] of [
	['none', LATE, false],
	['none', AGAINST, false],
	['none', REUSED, false],
	['turn of acceptances', LATE, true],
	['page', AGAINST, true],
	['stamp of the record', REUSED, true],
	['turn before leaving', LATE, true],
	['records that name it', UNTIDY, true],
] as const)
	test(`every history of ${Object.keys(happens).join(', ')}: ${found ? `without the ${fault} a forbidden one` : 'none is forbidden'}`, () => {
		const { states, fault: seen } = explore(model(fault, happens), 400_000)
		if (found) assert.ok(seen !== null, `${states} states, and no fault`)
		else assert.deepEqual(seen, null)
		assert.ok(found || states > 1000, `${states} states`)
	})

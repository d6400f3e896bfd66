import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	type AcceptedJobRecord,
	acceptJobs,
	advanceArchivalEpoch,
	decodeJobRecord,
	deletePages,
	encodeAcceptedBatch,
	HISTORY_KEY,
	JobRegistry,
	putJobRecord,
	recordTerminalJobs,
	shardKey,
	terminalPageKey,
	toTerminalJob,
} from '@heathroad/cluster'
import { archivablePages } from '@heathroad/server'
import { KEY_PREFIX, type TransactionContent, WatchCache } from '@heathroad/store'
import { arrayJob, explore } from '@heathroad/testkit'

// One job that two controllers may accept, cancel and finish, a second one whose end fills the page, a third one that
// controller 0 accepts beside the first, under records of its own that say nothing any more where it has some, and every
// write free to be applied at any later moment or never. Controller 0 owns the part. What the controllers write, and when a
// page may leave, is the service's own code.

const JOB = 'job-000001'
const OTHER = 'job-000002'
const NEXT = 'job-000003'
const ROOM = { maxValueChars: 8000, maxJobs: 1 }
const record = (uid: string): AcceptedJobRecord => ({
	shardId: 0,
	spec: arrayJob(uid, { tasks: 1 }),
	acceptedAtMs: 0,
})

type Keys = Record<string, { data: unknown; modRevision: number }>
interface Pending {
	what: string
	content: TransactionContent
}
interface State {
	revision: number
	keys: Keys
	/** what each controller knows of the keys */
	views: { revision: number; keys: Keys }[]
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
	| 'modRevision of the record'
	| 'page'
	| 'turn before leaving'
	| 'records that name it'
	| 'none'

const views = new WeakMap<Keys, ReturnType<typeof makeView>>()
/** What somebody knows who has read the keys. */
const view = (s: { revision: number; keys: Keys }) => {
	const known = views.get(s.keys) ?? makeView(s)
	views.set(s.keys, known)
	return known
}
const makeView = ({ revision, keys }: { revision: number; keys: Keys }) => {
	const cache: WatchCache = new WatchCache(
		(key, entry, before) => {
			if (key.startsWith('over/')) book.onTerminalPageChanged(key, entry, before, cache.revision)
			else if (key.startsWith('intake/')) book.onBatchAccepted(entry?.data)
			else if (key.startsWith('job/')) {
				const own = decodeJobRecord(entry?.data)
				if (own !== null) book.onJobRecordChanged(key.slice(4), own)
			}
		},
		0,
		() => 0,
	)
	const book = new JobRegistry(cache)
	cache.replaceAll(
		revision,
		Object.entries(keys).map(([key, e]) => ({ key: KEY_PREFIX + key, ...e })),
	)
	book.dropJobsThatLeftPages()
	return { mirror: cache, book }
}

const without = (content: TransactionContent, key: string): TransactionContent => ({
	...content,
	conditions: content.conditions.filter((c) => c.key !== KEY_PREFIX + key),
})

const model = (fault: Fault, happens: Record<string, number>) => {
	const start: State = {
		revision: 3,
		keys: {
			[shardKey(0)]: { data: { owner: 'ctl-0', life: 'a' }, modRevision: 1 },
			[HISTORY_KEY]: { data: { form: 2, turn: 1, legacy: false }, modRevision: 2 },
			'intake/before': { data: encodeAcceptedBatch([record(OTHER)]), modRevision: 3 },
		},
		views: [],
		pending: [],
		archive: [],
		accepted: false,
		final: null,
		left: happens,
		broken: null,
	}
	start.views = [0, 1].map(() => ({ revision: start.revision, keys: start.keys }))
	/** What a controller writes, as the service would; null: it has no cause to. */
	const made = (s: State, name: string): { content: TransactionContent; archives?: string[] } | null => {
		const c = name.endsWith('1') ? 1 : 0
		const { mirror: cache, book } = view(s.views[c])
		const known = book.get(JOB)
		const open = known !== undefined && known.record.finalState === undefined
		const owning = { key: KEY_PREFIX + shardKey(0), modRevision: cache.modRevision(shardKey(0)) }
		const finals = (uid: string, how: 'done' | 'aborted') => {
			const { content } = recordTerminalJobs(cache, 0, [toTerminalJob(uid, how, record(uid).spec, 1)], ROOM)
			return fault === 'page' ? without(content, terminalPageKey(0)) : content
		}
		/** Where an acceptance goes: 'intake/before' is controller 0's. */
		const accepts = (uid: string) => {
			const before = cache.get('intake/before')
			const spent = c === 0 && before !== undefined && book.isObsoleteBatch(before.data)
			const [key, modRevision] = spent ? ['intake/before', before.modRevision] : [`intake/${name}`, 0]
			const content = acceptJobs(cache, key, [record(uid)], modRevision)
			if (fault === 'modRevision of the record') return { content: without(content, key) }
			return { content: fault === 'turn of acceptances' ? without(content, HISTORY_KEY) : content }
		}
		if (name.startsWith('accept')) {
			if (known !== undefined || s.archive.includes(JOB)) return null
			return accepts(JOB)
		}
		if (name === 'next0') return book.get(NEXT) === undefined ? accepts(NEXT) : null
		if (name === 'cancel1') {
			if (!open) return null
			const own = putJobRecord(cache, JOB, known.modRevision, {
				shardId: 0,
				finalState: 'aborted',
				taskCount: 1,
				doneCount: 0,
			})
			const page = finals(JOB, 'aborted')
			return {
				content: {
					conditions: [...page.conditions, ...own.conditions],
					mutations: [...page.mutations, ...own.mutations],
				},
			}
		}
		if (name === 'done' || name === 'other') {
			const uid = name === 'done' ? JOB : OTHER
			if (book.get(uid)?.record.finalState !== undefined || book.get(uid) === undefined) return null
			const content = finals(uid, 'done')
			return { content: { ...content, conditions: [owning, ...content.conditions] } }
		}
		if (name === 'progress') {
			if (!open) return null
			const content = putJobRecord(cache, JOB, known.modRevision, { ...known.record, doneRanges: [] })
			return { content: { ...content, conditions: [owning, ...content.conditions] } }
		}
		if (name === 'turn')
			return { content: advanceArchivalEpoch(cache, { format: 2, archivalEpoch: 2, legacy: false }) }
		if (name === 'tidy') {
			const spent = [...book.obsoleteEntries()]
			return spent.length === 0
				? null
				: {
						content: {
							conditions: spent.map(([key, e]) => ({ key: KEY_PREFIX + key, modRevision: e.modRevision })),
							mutations: spent.map(([key]) => ({ delete: KEY_PREFIX + key })),
						},
					}
		}
		const pages = [...cache.withPrefix('over/0/')].map(([key, e]) => ({
			key,
			modRevision: e.modRevision,
			jobs: [...book.terminalJobsOnPage(key)],
		}))
		const turn = fault === 'turn before leaving' ? Number.POSITIVE_INFINITY : cache.modRevision(HISTORY_KEY)
		const named = fault === 'records that name it' ? new Set<string>() : book.referencedIds()
		const ready = archivablePages(pages, turn, named, new Set(), 1)
		if (ready.length === 0) return null
		const keys = ready.map((p) => p.key)
		return { content: deletePages(cache, 0, keys), archives: ready.flatMap((p) => p.jobs.map((j) => j.uid)) }
	}
	const check = (s: State): string | null => {
		const { book } = view(s)
		const final = book.terminalRecord(JOB)?.record.finalState ?? null
		const archived = s.archive.includes(JOB)
		if (s.accepted && book.get(JOB) === undefined && !archived) return 'an accepted job is unknown'
		if (s.final === null) return null
		if (book.openJobs.has(JOB)) return `${s.final}, and open again`
		if (final !== null && final !== s.final) return `${s.final}, then ${final}`
		return null
	}
	return {
		start,
		*actions(s: State): Iterable<string> {
			for (const name of Object.keys(s.left)) if (s.left[name] > 0 && made(s, name) !== null) yield name
			for (const c of [0, 1]) if (s.views[c].revision < s.revision) yield `sees ${c}`
			for (const [i] of s.pending.entries()) yield `applied ${i}`
		},
		step(s: State, action: string): State {
			if (action.startsWith('sees ')) {
				const c = Number(action.slice(5))
				const views = s.views.map((v, i) => (i === c ? { revision: s.revision, keys: s.keys } : v))
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
			const modRevision = (key: string) => s.keys[key.slice(KEY_PREFIX.length)]?.modRevision ?? 0
			if (content.conditions.some((c) => modRevision(c.key) !== c.modRevision)) return { ...s, pending }
			const revision = s.revision + 1
			const keys = { ...s.keys }
			for (const c of content.mutations)
				if ('set' in c) keys[c.set.slice(KEY_PREFIX.length)] = { data: c.data, modRevision: revision }
				else delete keys[c.delete.slice(KEY_PREFIX.length)]
			const final = what === 'done' ? 'done' : what === 'cancel1' ? 'aborted' : s.final
			const next = { ...s, revision, keys, pending, final, accepted: s.accepted || what.startsWith('accept') }
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
	['modRevision of the record', REUSED, true],
	['turn before leaving', LATE, true],
	['records that name it', UNTIDY, true],
] as const)
	test(`every history of ${Object.keys(happens).join(', ')}: ${found ? `without the ${fault} a forbidden one` : 'none is forbidden'}`, () => {
		const { states, fault: seen } = explore(model(fault, happens), 400_000)
		if (found) assert.ok(seen !== null, `${states} states, and no fault`)
		else assert.deepEqual(seen, null)
		assert.ok(found || states > 1000, `${states} states`)
	})

import {
	type ArchivedJob,
	type ArchivePage,
	archivePageKey,
	encodeArchivePage,
	jobIdOf,
	ORDINAL_END,
	packJobs,
} from '@heathroad/history'
import { KEY_PREFIX } from '@heathroad/store'
import { type FakeStateStore, VirtualClock } from '@heathroad/testkit'

/**
 * Ids as a fleet of users makes them: 6 to 20 digits, in order, each kind in its share. Made in order, so that ten
 * million need no sorting.
 */
export function* madeIds(n: number, seed: number): Iterable<string> {
	const random = new VirtualClock(seed)
	// Six digits hold a million ids; most users take more.
	const shares: [width: number, share: number][] = [
		[6, 0.02],
		[9, 0.38],
		[12, 0.4],
		[20, 0.2],
	]
	let left = n
	for (const [i, [width, share]] of shares.entries()) {
		const count = i === shares.length - 1 ? left : Math.min(left, Math.round(n * share), 10 ** width / 2)
		left -= count
		// The middle digits vary, the last are random: in a width of 20 as in one of 9 no two are the same.
		const digits = Math.min(width, 15)
		const step = 10 ** digits / Math.max(1, count)
		for (let k = 0; k < count; k++) {
			const value = Math.floor(step * (k + random.random() * 0.99))
			const low =
				width > digits ? String(Math.floor(random.random() * 1e5)).padStart(width - digits, '0') : ''
			yield String(width).padStart(2, '0') + String(value).padStart(digits, '0') + low
		}
	}
}

const made = (at: string, i: number): ArchivedJob => {
	const aborted = i % 11 === 0
	const tasks = 1 + ((i * 37) % 400)
	return {
		ordinal: at,
		aborted,
		taskCount: tasks,
		doneCount: aborted ? i % tasks : tasks,
		revision: 1 + ((i * 7919) % 9_000_000),
	}
}

/** Fills a state with finished jobs as the first form keeps them: each under a key of its own, for ever. */
export const putFirstForm = (state: FakeStateStore, n: number, parts: number, seed: number): void => {
	let i = 0
	for (const at of madeIds(n, seed)) {
		const { aborted, taskCount: tasks, doneCount: done } = made(at, i)
		const need = { team: 'core', cpus: 1, gpus: 0, ramGb: 2 }
		const final = aborted ? 'aborted' : 'done'
		state.put(`${KEY_PREFIX}job/${jobIdOf(at)}`, {
			part: i % parts,
			final,
			tasks,
			need,
			...(aborted ? { count: done } : {}),
		})
		i++
	}
}

/**
 * Fills a state with finished jobs as the archive keeps them: in the lowest level that has room for them, below leaves
 * that handed everything down. Returns every `sample`-th of them.
 */
export const putArchive = (
	state: FakeStateStore,
	n: number,
	value: number,
	seed: number,
	sample: number,
): ArchivedJob[] => {
	state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: false })
	if (n === 0) return []
	const kept: ArchivedJob[] = []
	const leaves: ArchivePage[] = []
	let items: ArchivedJob[] = []
	let from = ''
	const close = (to: string) => {
		leaves.push({ from, to, depth: 0, deeper: false, packed: packJobs(items), modRevision: 0 })
		from = to
		items = []
	}
	let i = 0
	for (const at of madeIds(n, seed)) {
		const p = made(at, i)
		if (i++ % sample === 0) kept.push(p)
		// Leaves that grew by halving are three quarters full on average.
		if (items.length >= 500 && items.length % 50 === 0 && packJobs(items).length > value * 0.72) close(at)
		items.push(p)
	}
	close(ORDINAL_END)
	// Every level holds 64 times as many leaves as the one above it.
	let bottom = 1
	while (leaves.length > 64 ** bottom) bottom++
	for (let level = 1; level < bottom; level++) {
		const every = Math.ceil(leaves.length / 64 ** level)
		for (let k = 0; k < leaves.length; k += every) {
			const to = leaves[Math.min(k + every, leaves.length) - 1].to
			const upper = { from: leaves[k].from, to, depth: level * 6, deeper: true, packed: '', modRevision: 0 }
			state.put(archivePageKey(level, to), encodeArchivePage(upper))
		}
	}
	for (const leaf of leaves)
		state.put(archivePageKey(bottom, leaf.to), encodeArchivePage({ ...leaf, depth: bottom * 6 }))
	return kept
}

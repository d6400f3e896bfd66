import type { StoreClient, StoreFailure, WriteResult } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import {
	type ArchivedJob,
	type ArchivePage,
	decodeArchivePage,
	emptyLevel,
	encodeArchivePage,
	unpackJobs,
} from './leaf.js'
import { type ArchiveWriteLimits, nextMergeStep } from './merge.js'
import { archivePageKey, levelPrefix } from './order.js'

/** Neighbouring leaves that one request reads, at the most that one transaction can write. */
const READ_AHEAD = 8

export interface ArchiverPorts {
	client: Pick<StoreClient, 'list'>
	/** writes within the rate, when its turn comes */
	write(conditions: readonly Condition[], mutations: readonly Mutation[]): Effect.Effect<WriteResult>
	/** waits until this many changes more are within the share that history has */
	pace(changes: number): Effect.Effect<void>
	/** is it still ours to move? */
	isOwner(): boolean
	limits: ArchiveWriteLimits
}

/**
 * Moves final states down into the archive and within it. Everything is written below before it is removed above,
 * and what is written again agrees with what is there: a move may stop at any moment, be done twice, or be done by
 * two at once, and whoever reads from the top down finds every state at every moment. Each leaf is written on
 * condition of its modRevision, so a write that is applied late changes nothing that is newer than what it was made from.
 */
export class Archiver {
	constructor(private readonly ports: ArchiverPorts) {}

	private read(level: number, at: string): Effect.Effect<ArchivePage[], StoreFailure> {
		// The first key behind the place just before `at`: keys start after `from`, and a leaf's end is not part of it.
		return this.ports.client.list(levelPrefix(level), archivePageKey(level, at), READ_AHEAD).pipe(
			Effect.map(({ entries }) => {
				if (entries.length === 0) return [emptyLevel()]
				return entries.map((e) => decodeArchivePage(level, e.key, e.data, e.modRevision))
			}),
		)
	}

	private set(level: number, leaves: readonly ArchivePage[]): Effect.Effect<WriteResult> {
		const keys = leaves.map((l) => ({ key: archivePageKey(level, l.to), leaf: l }))
		return this.ports.write(
			keys.map(({ key, leaf }) => ({ key, modRevision: leaf.modRevision })),
			keys.map(({ key, leaf }) => ({ set: key, data: encodeArchivePage(leaf) })),
		)
	}

	/** Puts final states, in order, into a level; true once all of them are durable there or below. */
	insert(level: number, items: readonly ArchivedJob[]): Effect.Effect<boolean, StoreFailure> {
		return Effect.gen({ self: this }, function* () {
			let rest = items
			while (rest.length > 0) {
				if (!this.ports.isOwner()) return false
				const leaves = yield* this.read(level, rest[0].ordinal)
				const step = nextMergeStep(level, leaves, rest, this.ports.limits)
				if (step.push !== null) {
					if (!(yield* this.handDown(level, step.push))) return false
					continue
				}
				yield* this.ports.pace(step.sets.length)
				const result = yield* this.set(level, step.sets)
				// Another one wrote a leaf meanwhile, or it is not known: read again, what is there already stays.
				if (result.kind === 'refused') return false
				if (result.kind === 'ok') rest = rest.slice(step.taken)
			}
			return true
		})
	}

	/** Empties a full leaf into the level below. */
	private handDown(level: number, leaf: ArchivePage): Effect.Effect<boolean, StoreFailure> {
		return Effect.gen({ self: this }, function* () {
			if (!(yield* this.insert(level + 1, unpackJobs(leaf.packed)))) return false
			yield* this.ports.pace(1)
			// If it was written meanwhile it keeps all, and goes down again when it is met again.
			yield* this.set(level, [{ ...leaf, packed: '', deeper: true }])
			return true
		})
	}
}

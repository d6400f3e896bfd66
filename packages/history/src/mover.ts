import type { Failure, StoreClient, WriteResult } from '@heathroad/store'
import type { Change, Condition } from '@heathroad/wire'
import { Effect } from 'effect'
import { emptyLevel, type Leaf, type Past, readLeaf, unpack, writeLeaf } from './leaf.js'
import { nextStep, type Room } from './merge.js'
import { leafKey, levelPrefix } from './order.js'

/** Neighbouring leaves that one request reads, at the most that one transaction can write. */
const READ_AHEAD = 8

export interface MoverPorts {
	client: Pick<StoreClient, 'page'>
	/** writes within the rate, when its turn comes */
	write(conditions: readonly Condition[], changes: readonly Change[]): Effect.Effect<WriteResult>
	/** waits until this many changes more are within the share that history has */
	pace(changes: number): Effect.Effect<void>
	/** is it still ours to move? */
	mine(): boolean
	room: Room
}

/**
 * Moves final states down into the archive and within it. Everything is written below before it is removed above,
 * and what is written again agrees with what is there: a move may stop at any moment, be done twice, or be done by
 * two at once, and whoever reads from the top down finds every state at every moment. Each leaf is written on
 * condition of its stamp, so a write that is applied late changes nothing that is newer than what it was made from.
 */
export class Mover {
	constructor(private readonly p: MoverPorts) {}

	private read(level: number, at: string): Effect.Effect<Leaf[], Failure> {
		// The first key behind the place just before `at`: keys start after `from`, and a leaf's end is not part of it.
		return this.p.client.page(levelPrefix(level), leafKey(level, at), READ_AHEAD).pipe(
			Effect.map(({ entries }) => {
				if (entries.length === 0) return [emptyLevel()]
				return entries.map((e) => readLeaf(level, e.key, e.data, e.stamp))
			}),
		)
	}

	private set(level: number, leaves: readonly Leaf[]): Effect.Effect<WriteResult> {
		const keys = leaves.map((l) => ({ key: leafKey(level, l.to), leaf: l }))
		return this.p.write(
			keys.map(({ key, leaf }) => ({ key, stamp: leaf.stamp })),
			keys.map(({ key, leaf }) => ({ set: key, data: writeLeaf(leaf) })),
		)
	}

	/** Puts final states, in order, into a level; true once all of them are durable there or below. */
	insert(level: number, items: readonly Past[]): Effect.Effect<boolean, Failure> {
		return Effect.gen({ self: this }, function* () {
			let rest = items
			while (rest.length > 0) {
				if (!this.p.mine()) return false
				const leaves = yield* this.read(level, rest[0].at)
				const step = nextStep(level, leaves, rest, this.p.room)
				if (step.push !== null) {
					if (!(yield* this.handDown(level, step.push))) return false
					continue
				}
				yield* this.p.pace(step.sets.length)
				const result = yield* this.set(level, step.sets)
				// Another one wrote a leaf meanwhile, or it is not known: read again, what is there already stays.
				if (result.kind === 'refused') return false
				if (result.kind === 'ok') rest = rest.slice(step.taken)
			}
			return true
		})
	}

	/** Empties a full leaf into the level below. */
	private handDown(level: number, leaf: Leaf): Effect.Effect<boolean, Failure> {
		return Effect.gen({ self: this }, function* () {
			if (!(yield* this.insert(level + 1, unpack(leaf.packed)))) return false
			yield* this.p.pace(1)
			// If it was written meanwhile it keeps all, and goes down again when it is met again.
			yield* this.set(level, [{ ...leaf, packed: '', deeper: true }])
			return true
		})
	}
}

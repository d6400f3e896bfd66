/** Writes that are carried out together, in one transaction of the state service. */
import type { Condition, Mutation } from '@heathroad/wire'
import type { QueuedWrite, TransactionContent, WriteQueueLimits } from './write-queue.js'

/** Conditions that a transaction may have for each of its operations. */
const CONDITIONS_PER_OPERATION = 4
/** Size of an encoded condition, in bytes; an estimate on the safe side. */
const BYTES_PER_CONDITION = 80

/** A write with its content at the time when it was built. */
export interface BuiltWrite {
	readonly write: QueuedWrite
	readonly content: TransactionContent
	/** Estimated size of its encoded content. */
	readonly bytes: number
}

const keyOf = (mutation: Mutation): string => ('set' in mutation ? mutation.set : mutation.delete)

/** Builds a write's content; null: the write is obsolete. */
export const buildWrite = (write: QueuedWrite): BuiltWrite | null => {
	const content = write.build()
	if (content === null) return null
	const bytes = JSON.stringify(content.mutations).length + content.conditions.length * BYTES_PER_CONDITION
	return { write, content, bytes }
}

/** Collects writes as long as they fit into one transaction and do not interfere with each other. */
export class WriteGroup {
	readonly members: BuiltWrite[] = []
	readonly mutations: Mutation[] = []
	private readonly conditionsByKey = new Map<string, Condition>()
	private readonly writtenKeys = new Set<string>()
	private bytes = 0

	constructor(private readonly limits: WriteQueueLimits) {}

	/** Does the group hold no write yet? */
	get isEmpty(): boolean {
		return this.members.length === 0
	}

	/** The conditions of all writes, each once. */
	get conditions(): Condition[] {
		return [...this.conditionsByKey.values()]
	}

	/** Does the transaction stay within its limits with one more write? A write that exceeds them by itself is sent alone. */
	hasRoomFor({ content, bytes }: BuiltWrite): boolean {
		if (this.isEmpty) return true
		const { maxOperations, maxBytes } = this.limits
		const newConditions = content.conditions.filter(({ key }) => !this.conditionsByKey.has(key)).length
		return (
			this.mutations.length + content.mutations.length <= maxOperations &&
			this.conditionsByKey.size + newConditions <= maxOperations * CONDITIONS_PER_OPERATION &&
			this.bytes + bytes <= maxBytes
		)
	}

	/**
	 * Writes that touch one key never share a transaction: each was made without knowing the other, and the later mutation
	 * would silently undo the earlier.
	 */
	interferesWith({ content }: BuiltWrite): boolean {
		const touches = (key: string) => this.writtenKeys.has(key) || this.conditionsByKey.has(key)
		const contradicts = ({ key, modRevision }: Condition) =>
			this.writtenKeys.has(key) || (this.conditionsByKey.get(key)?.modRevision ?? modRevision) !== modRevision
		return (
			content.mutations.some((mutation) => touches(keyOf(mutation))) || content.conditions.some(contradicts)
		)
	}

	/** Adds a write that has been checked by `hasRoomFor` and `interferesWith`. */
	add(built: BuiltWrite): void {
		this.members.push(built)
		for (const mutation of built.content.mutations) this.writtenKeys.add(keyOf(mutation))
		for (const condition of built.content.conditions) this.conditionsByKey.set(condition.key, condition)
		this.mutations.push(...built.content.mutations)
		this.bytes += built.bytes
	}
}

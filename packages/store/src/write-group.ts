/** Groups writes into one transaction of the state service. */
import type { Condition, Mutation } from '@heathroad/wire'
import type { QueuedWrite, TransactionContent, WriteQueueLimits } from './write-queue.js'

/** Maximum number of conditions in a transaction, per permitted operation. */
export const CONDITIONS_PER_OPERATION = 4
/** Conservative estimate of the size of an encoded condition, in bytes. */
const BYTES_PER_CONDITION = 80

/** A write with the content that was built for it. */
export interface BuiltWrite {
	readonly write: QueuedWrite
	readonly content: TransactionContent
	/** Estimated size of its encoded content. */
	readonly bytes: number
}

const keyOf = (mutation: Mutation): string => ('set' in mutation ? mutation.set : mutation.delete)

/** Builds a write's content; null if the write is obsolete. */
export const buildWrite = (write: QueuedWrite): BuiltWrite | null => {
	const content = write.build()
	if (content === null) return null
	const bytes = JSON.stringify(content.mutations).length + content.conditions.length * BYTES_PER_CONDITION
	return { write, content, bytes }
}

/** Collects writes that fit into one transaction and do not conflict with each other. */
export class WriteGroup {
	readonly members: BuiltWrite[] = []
	readonly mutations: Mutation[] = []
	private readonly conditionsByKey = new Map<string, Condition>()
	private readonly writtenKeys = new Set<string>()
	private bytes = 0

	constructor(private readonly limits: WriteQueueLimits) {}

	/** Whether the group has no writes. */
	get isEmpty(): boolean {
		return this.members.length === 0
	}

	/** The conditions of all writes, without duplicates. */
	get conditions(): Condition[] {
		return [...this.conditionsByKey.values()]
	}

	/** Whether the write fits into the transaction's limits. A write that exceeds them on its own is sent alone. */
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
	 * Whether the write must not share a transaction with the group, because they touch the same key. Each was built without
	 * knowledge of the other, and the later mutation would silently overwrite the earlier one.
	 */
	conflictsWith({ content }: BuiltWrite): boolean {
		const touches = (key: string) => this.writtenKeys.has(key) || this.conditionsByKey.has(key)
		const contradicts = ({ key, modRevision }: Condition) =>
			this.writtenKeys.has(key) || (this.conditionsByKey.get(key)?.modRevision ?? modRevision) !== modRevision
		return (
			content.mutations.some((mutation) => touches(keyOf(mutation))) || content.conditions.some(contradicts)
		)
	}

	/** Adds a write; the caller must have checked it with `hasRoomFor` and `conflictsWith`. */
	add(built: BuiltWrite): void {
		this.members.push(built)
		for (const mutation of built.content.mutations) this.writtenKeys.add(keyOf(mutation))
		for (const condition of built.content.conditions) this.conditionsByKey.set(condition.key, condition)
		this.mutations.push(...built.content.mutations)
		this.bytes += built.bytes
	}
}

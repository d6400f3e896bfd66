/** Deletes records that have become obsolete. */
import { hashName } from '@heathroad/cluster'
import type { Shard } from '@heathroad/controller'
import { KEY_PREFIX, WritePriority } from '@heathroad/store'
import type { ControllerContext } from './controller-context.js'

/**
 * Deletes obsolete records whose names fall to shards that this controller owns. It queues as many at a time as half of
 * this controller's share of the changes takes until the next tick, two controller leases later: a vast job array leaves
 * a hundred of them, and deletions that timed out in the queue left records for ever.
 */
export const deleteObsoleteRecords = (
	context: ControllerContext,
	shards: ReadonlyMap<number, Shard>,
): void => {
	const { writesPerS, controllerLeaseMs, controllerNames } = context.config.limits
	let remaining = Math.ceil((writesPerS * controllerLeaseMs) / 1000)
	for (const [name, { modRevision }] of context.jobs.obsoleteEntries()) {
		if (!shards.has(hashName(name) % controllerNames.length)) continue
		if (remaining-- <= 0) return
		const key = KEY_PREFIX + name
		const content = { conditions: [{ key, modRevision }], mutations: [{ delete: key }] }
		context.writeQueue.enqueue({
			priority: WritePriority.progress,
			build: () => content,
			deadline: context.now() + controllerLeaseMs,
			onResult: () => {},
		})
	}
}

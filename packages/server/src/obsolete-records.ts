/** Deletion of records that are no longer needed, such as the progress of terminal jobs. */
import { hashName } from '@heathroad/cluster'
import type { Shard } from '@heathroad/controller'
import { KEY_PREFIX, WritePriority } from '@heathroad/store'
import type { ControllerContext } from './controller-context.js'

/**
 * Deletes obsolete records whose names hash to shards that this controller owns. Each call queues at most as many
 * deletions as half of this controller's write rate allows until the next tick, two controller leases later: a large job
 * array leaves a hundred obsolete records, and deletions that timed out in the queue left records forever.
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

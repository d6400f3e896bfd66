/** Own writes: keeps the watch cache up to date with transactions of this controller that were applied. */
import { KEY_PREFIX } from '@heathroad/store'
import type { Mutation } from '@heathroad/wire'
import type { ShardPorts } from './ports.js'

/**
 * Applies the values that a transaction set at `revision` to the watch cache, in their order. Deletions are left to the
 * watch: older changes of a deleted key may still be on their way.
 */
export const applyOwnMutations = (
	ports: ShardPorts,
	mutations: readonly Mutation[],
	revision: number,
): void => {
	for (const mutation of mutations)
		if ('set' in mutation) ports.applyOwnWrite(mutation.set.slice(KEY_PREFIX.length), mutation.data, revision)
}

/** Terminal states in the first record format, each stored under its job's own key. */

import { isMap } from '@heathroad/wire'
import type { ArchivedJob } from './archived-job.js'

/** Decodes the terminal state in the record of a job's own key; null: the record has none. */
export const decodeLegacyTerminalState = (
	ordinal: string,
	data: unknown,
	revision: number,
): ArchivedJob | null => {
	if (!isMap(data)) return null
	if (data.final !== 'done' && data.final !== 'aborted') return null
	const taskCount = Number(data.tasks ?? 0)
	const aborted = data.final === 'aborted'
	const doneCount = aborted ? Number(data.count ?? 0) : taskCount
	return { ordinal, aborted, taskCount, doneCount, revision }
}

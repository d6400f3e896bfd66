/** Free resources and cached images of one machine. */
import type { JobSpec } from '@heathroad/wire'
import type { Machine } from './model.js'

/** Recomputes the machine's free resources from its attempts. */
export const recomputeFreeResources = (machine: Machine): void => {
	const free = { cpus: machine.type.cpus, gpus: machine.type.gpus, ramGb: machine.type.ramGb }
	for (const attempt of machine.attempts.values()) {
		if (attempt.state === 'exited') continue
		free.cpus -= attempt.resources.cpus
		free.gpus -= attempt.resources.gpus
		free.ramGb -= attempt.resources.ramGb
	}
	machine.freeResources = free
}

/** Records the job's image as cached on the machine, and evicts the least recently used images beyond the cache size. */
export const recordCachedImage = (machine: Machine, spec: JobSpec): void => {
	// Re-inserted at the end: the map is in order of last use.
	machine.cachedImages.delete(spec.image)
	machine.cachedImages.set(spec.image, spec.imageGb)
	let totalGb = 0
	for (const sizeGb of machine.cachedImages.values()) totalGb += sizeGb
	for (const [image, sizeGb] of machine.cachedImages) {
		if (totalGb <= machine.type.cacheGb || image === spec.image) break
		machine.cachedImages.delete(image)
		totalGb -= sizeGb
	}
}

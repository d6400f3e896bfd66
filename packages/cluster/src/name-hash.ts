/** A hash of names that is the same in every process and version. */

// FNV-1a, 32 bits.
const FNV_OFFSET_BASIS = 2166136261
const FNV_PRIME = 16777619

/** A stable number for a name, to spread unregistered machines and limited teams over shards. */
export const hashName = (name: string): number => {
	let hash = FNV_OFFSET_BASIS
	for (let index = 0; index < name.length; index++) hash = Math.imul(hash ^ name.charCodeAt(index), FNV_PRIME)
	return hash >>> 0
}

/** Hash of names; stable across processes and versions. */

// FNV-1a, 32 bits.
const FNV_OFFSET_BASIS = 2166136261
const FNV_PRIME = 16777619

/** Returns an unsigned 32-bit hash, used to distribute unregistered machines and limited teams among the shards. */
export const hashName = (name: string): number => {
	let hash = FNV_OFFSET_BASIS
	for (let index = 0; index < name.length; index++) hash = Math.imul(hash ^ name.charCodeAt(index), FNV_PRIME)
	return hash >>> 0
}

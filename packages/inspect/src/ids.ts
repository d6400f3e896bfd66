import { ordinalOf } from '@heathroad/history'
import { RoaringBitmap32, roaringLibraryInitialize } from 'roaring-wasm'

/** Low digits that one bitmap holds: all numbers of nine digits are below 2^32. */
const LOW = 9

/**
 * A set of jobs' ids, exact for every width: one compressed bitmap for each width and the digits above the lowest
 * nine. Ten million ids take some tens of megabytes; as texts they would take a gigabyte.
 */
export class IdSet {
	private readonly maps = new Map<string, RoaringBitmap32>()
	size = 0

	/** The library is compiled code that has to be loaded first. */
	static async make(): Promise<IdSet> {
		await roaringLibraryInitialize()
		return new IdSet()
	}

	/** False: it was in it already. */
	add(uid: string): boolean {
		const at = ordinalOf(uid)
		const high = at.slice(0, -LOW)
		// Shorter ids have their width and nothing more before the lowest digits.
		const [key, low] = at.length - 2 >= LOW ? [high, at.slice(-LOW)] : [at.slice(0, 2), at.slice(2)]
		let map = this.maps.get(key)
		if (map === undefined) {
			map = new RoaringBitmap32()
			this.maps.set(key, map)
		}
		const fresh = map.tryAdd(Number(low))
		if (fresh) this.size++
		return fresh
	}

	dispose(): void {
		for (const map of this.maps.values()) map.dispose()
		this.maps.clear()
	}
}

/** A compact set of job ids, for checks of states with millions of jobs. */

import { ORDINAL_WIDTH_CHARS, ordinalOf } from '@heathroad/history'
import { RoaringBitmap32, roaringLibraryInitialize } from 'roaring-wasm'

/** Lowest digits of an id that one bitmap holds: all numbers of nine digits are below 2^32. */
const BITMAP_DIGITS = 9

/**
 * A set of job ids, exact for every width: one compressed bitmap for each width and the digits above the lowest nine.
 * Ten million ids take some tens of megabytes; as strings they would take a gigabyte.
 */
export class IdSet {
	private readonly bitmaps = new Map<string, RoaringBitmap32>()
	/** distinct ids */
	size = 0

	/** Makes an empty set, once the bitmap library, which is WebAssembly, is loaded. */
	static async make(): Promise<IdSet> {
		await roaringLibraryInitialize()
		return new IdSet()
	}

	/** Adds an id; false: the set has it already. */
	add(uid: string): boolean {
		const ordinal = ordinalOf(uid)
		// Ids of few digits have nothing but their width before the lowest digits.
		const splitAt = Math.max(ORDINAL_WIDTH_CHARS, ordinal.length - BITMAP_DIGITS)
		const added = this.bitmapFor(ordinal.slice(0, splitAt)).tryAdd(Number(ordinal.slice(splitAt)))
		if (added) this.size++
		return added
	}

	/** Frees the bitmaps' memory, which the garbage collector does not manage. */
	dispose(): void {
		for (const bitmap of this.bitmaps.values()) bitmap.dispose()
		this.bitmaps.clear()
	}

	private bitmapFor(prefix: string): RoaringBitmap32 {
		const present = this.bitmaps.get(prefix)
		if (present !== undefined) return present
		const bitmap = new RoaringBitmap32()
		this.bitmaps.set(prefix, bitmap)
		return bitmap
	}
}

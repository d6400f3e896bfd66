/** A compact set of job ids, for checking states with millions of jobs. */

import { ORDINAL_WIDTH_CHARS, ordinalOf } from '@heathroad/history'
import { RoaringBitmap32, roaringLibraryInitialize } from 'roaring-wasm'

/** Number of low-order digits of an id that a bitmap stores: all numbers of nine digits are below 2^32. */
const BITMAP_DIGITS = 9

/**
 * An exact set of job ids of any width: one compressed bitmap for each combination of width and digits above the lowest
 * nine. Ten million ids take some tens of megabytes; as strings they would take a gigabyte.
 */
export class IdSet {
	private readonly bitmaps = new Map<string, RoaringBitmap32>()
	/** number of ids in the set */
	size = 0

	/** Loads the bitmap library, which is WebAssembly, and creates an empty set. */
	static async create(): Promise<IdSet> {
		await roaringLibraryInitialize()
		return new IdSet()
	}

	/** Adds an id; returns false if the set already contains it. */
	add(uid: string): boolean {
		const ordinal = ordinalOf(uid)
		// In ids of up to nine digits, only the width precedes the lowest digits.
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

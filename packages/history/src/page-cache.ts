/** In-memory LRU cache of archive pages. */

import { type ArchivePage, covers } from './archive-page.js'

/** A page with the revision at which it was read. */
export interface CachedPage {
	page: ArchivePage
	/** revision of the state service at which it was read */
	readAt: number
}

interface Entry extends CachedPage {
	level: number
}

const cacheKey = (level: number, to: string): string => `${level}/${to}`

const overlaps = (a: ArchivePage, b: ArchivePage): boolean => a.from < b.to && b.from < a.to

/** Index of the first range end that is greater than the ordinal, by binary search. */
const indexOfEndAfter = (ends: readonly string[], ordinal: string): number => {
	let low = 0
	let high = ends.length
	while (low < high) {
		const middle = (low + high) >> 1
		if (ends[middle] > ordinal) high = middle
		else low = middle + 1
	}
	return low
}

/** LRU cache of pages by level and range. The cached pages of one level never overlap. */
export class PageCache {
	/** least recently used first */
	private readonly entries = new Map<string, Entry>()
	/** sorted range ends of the cached pages, by level */
	private readonly endsByLevel = new Map<number, string[]>()
	private chars = 0

	/** @param maxChars limit on the total size of the packed texts, in characters */
	constructor(private readonly maxChars: number) {}

	/** Returns the page that covers an ordinal and marks it as most recently used. */
	find(level: number, ordinal: string): CachedPage | undefined {
		const ends = this.endsOf(level)
		const index = indexOfEndAfter(ends, ordinal)
		if (index >= ends.length) return undefined
		const key = cacheKey(level, ends[index])
		const entry = this.entries.get(key)
		if (entry === undefined || !covers(entry.page, ordinal)) return undefined
		this.entries.delete(key)
		this.entries.set(key, entry)
		return entry
	}

	/** Adds a page, removes those that it replaces, and evicts others if the cache exceeds its limit. */
	add(level: number, page: ArchivePage, readAt: number): void {
		this.removeOverlapping(level, page)
		this.entries.set(cacheKey(level, page.to), { level, page, readAt })
		this.chars += page.packed.length
		const ends = this.endsOf(level)
		let index = ends.length
		while (index > 0 && ends[index - 1] > page.to) index--
		ends.splice(index, 0, page.to)
		this.evictExcept(page)
	}

	/** Removes the page whose range ends before `to`. */
	remove(level: number, to: string): void {
		const key = cacheKey(level, to)
		const entry = this.entries.get(key)
		if (entry === undefined) return
		this.entries.delete(key)
		this.chars -= entry.page.packed.length
		const ends = this.endsOf(level)
		ends.splice(ends.indexOf(to), 1)
	}

	/** Removes all pages. */
	clear(): void {
		this.entries.clear()
		this.endsByLevel.clear()
		this.chars = 0
	}

	/** Cached pages that overlap one just read are outdated: they have been split or replaced since. */
	private removeOverlapping(level: number, page: ArchivePage): void {
		for (const to of [...this.endsOf(level)]) {
			const entry = this.entries.get(cacheKey(level, to))
			if (entry !== undefined && overlaps(entry.page, page)) this.remove(level, to)
		}
	}

	private evictExcept(added: ArchivePage): void {
		for (const { level, page } of this.entries.values()) {
			if (this.chars <= this.maxChars || page === added) break
			this.remove(level, page.to)
		}
	}

	private endsOf(level: number): string[] {
		const present = this.endsByLevel.get(level)
		if (present !== undefined) return present
		const ends: string[] = []
		this.endsByLevel.set(level, ends)
		return ends
	}
}

/** Sorted iteration over the keys of a map; sorts again only after keys were added or deleted. */

/** A view of a map in key order. */
export class SortedKeys<Value> {
	private sorted: string[] | null = null

	constructor(private readonly values: ReadonlyMap<string, Value>) {}

	/** Call after a key was added or deleted. */
	invalidate(): void {
		this.sorted = null
	}

	/** Yields the entries whose keys start with `prefix` and are greater than `after`, in key order. */
	*withPrefix(prefix: string, after: string): Generator<[string, Value]> {
		const keys = this.keys()
		let at = this.firstAfter(keys, after > prefix ? after : prefix)
		// A key that equals the prefix starts with it too.
		if (after < prefix && keys[at - 1] === prefix) at--
		for (; at < keys.length && keys[at].startsWith(prefix); at++) {
			const value = this.values.get(keys[at])
			if (value !== undefined) yield [keys[at], value]
		}
	}

	private keys(): readonly string[] {
		this.sorted ??= [...this.values.keys()].sort()
		return this.sorted
	}

	/** Returns the index of the first key that is greater than `text`, by binary search. */
	private firstAfter(keys: readonly string[], text: string): number {
		let from = 0
		let to = keys.length
		while (from < to) {
			const middle = (from + to) >> 1
			if (keys[middle] > text) to = middle
			else from = middle + 1
		}
		return from
	}
}

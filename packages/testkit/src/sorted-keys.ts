/** The keys of a map in order, sorted again only after keys came or went. */

/** An ordered view of a map. */
export class SortedKeys<Value> {
	private sorted: string[] | null = null

	constructor(private readonly values: ReadonlyMap<string, Value>) {}

	/** A key was added or deleted. */
	invalidate(): void {
		this.sorted = null
	}

	/** Entries with a prefix in order; those up to the key `after` are left out. */
	*withPrefix(prefix: string, after: string): Generator<[string, Value]> {
		const keys = this.keys()
		let at = this.firstBehind(keys, after > prefix ? after : prefix)
		// A key that equals the prefix has it too.
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

	/** Index of the first key that is greater than `text`, by binary search. */
	private firstBehind(keys: readonly string[], text: string): number {
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

/** A set of task indexes that is compact while they are contiguous. */

/** Stores indexes as sorted half-open ranges: a job array of 100,000 tasks, none of them started, is one range. */
export class RangeSet {
	/** bounds [from, to) of all ranges in one flat array; sorted, with a gap between any two ranges */
	private bounds: number[]
	/** number of indexes in the set */
	size: number

	constructor(bounds: readonly number[] = []) {
		this.bounds = []
		this.size = 0
		for (let i = 0; i + 1 < bounds.length; i += 2) this.addRange(bounds[i], bounds[i + 1])
	}

	/** The set of all indexes from 0 to `count` - 1. */
	static full(count: number): RangeSet {
		return new RangeSet([0, count])
	}

	/** Position of the first range that ends after `index`, by binary search; the number of ranges if there is none. */
	private firstRangeEndingAfter(index: number): number {
		let low = 0
		let high = this.bounds.length / 2
		while (low < high) {
			const middle = (low + high) >> 1
			if (this.bounds[middle * 2 + 1] > index) high = middle
			else low = middle + 1
		}
		return low
	}

	/** Whether the index is in the set. */
	has(index: number): boolean {
		const range = this.firstRangeEndingAfter(index)
		return range * 2 < this.bounds.length && this.bounds[range * 2] <= index
	}

	/** Adds an index; returns false if it was in the set already. */
	add(index: number): boolean {
		if (this.has(index)) return false
		this.addRange(index, index + 1)
		return true
	}

	/** Adds all indexes in [from, to), merging ranges that overlap or touch it. */
	addRange(from: number, to: number): void {
		if (!(from < to)) return
		const firstMerged = this.firstRangeEndingAfter(from - 1)
		let range = firstMerged
		let start = from
		let end = to
		while (range * 2 < this.bounds.length && this.bounds[range * 2] <= to) {
			start = Math.min(start, this.bounds[range * 2])
			end = Math.max(end, this.bounds[range * 2 + 1])
			this.size -= this.bounds[range * 2 + 1] - this.bounds[range * 2]
			range++
		}
		this.bounds.splice(firstMerged * 2, (range - firstMerged) * 2, start, end)
		this.size += end - start
	}

	/** Removes an index, splitting its range; returns false if it was not in the set. */
	delete(index: number): boolean {
		const position = this.firstRangeEndingAfter(index) * 2
		if (position >= this.bounds.length || this.bounds[position] > index) return false
		const from = this.bounds[position]
		const to = this.bounds[position + 1]
		const remaining: number[] = []
		if (from < index) remaining.push(from, index)
		if (index + 1 < to) remaining.push(index + 1, to)
		this.bounds.splice(position, 2, ...remaining)
		this.size--
		return true
	}

	/** The smallest index; undefined if the set is empty. */
	first(): number | undefined {
		return this.bounds[0]
	}

	/** The bounds [from, to) of all ranges in one flat array, sorted. */
	flatBounds(): readonly number[] {
		return this.bounds
	}

	/** The ranges within [from, to), as flat bounds relative to `from`. */
	slice(from: number, to: number): number[] {
		const bounds: number[] = []
		let position = this.firstRangeEndingAfter(from) * 2
		for (; position < this.bounds.length && this.bounds[position] < to; position += 2) {
			const start = Math.max(this.bounds[position], from)
			const end = Math.min(this.bounds[position + 1], to)
			bounds.push(start - from, end - from)
		}
		return bounds
	}

	copy(): RangeSet {
		return new RangeSet(this.bounds)
	}

	addAll(other: RangeSet): void {
		for (let i = 0; i < other.bounds.length; i += 2) this.addRange(other.bounds[i], other.bounds[i + 1])
	}

	deleteAll(other: RangeSet): void {
		for (let i = 0; i < other.bounds.length; i += 2)
			for (let index = other.bounds[i]; index < other.bounds[i + 1]; index++) this.delete(index)
	}
}

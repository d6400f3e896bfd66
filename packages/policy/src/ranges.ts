/** A set of task numbers kept as sorted half-open ranges: an untouched array of 100,000 tasks is one pair. */
export class RangeSet {
	/** [from, to) pairs, flat, sorted, never touching */
	private flat: number[]
	size: number

	constructor(flat: readonly number[] = []) {
		this.flat = []
		this.size = 0
		for (let i = 0; i + 1 < flat.length; i += 2) this.addRange(flat[i], flat[i + 1])
	}

	static full(count: number): RangeSet {
		return new RangeSet([0, count])
	}

	/** Index of the first range that ends after `n`. */
	private seek(n: number): number {
		let lo = 0
		let hi = this.flat.length / 2
		while (lo < hi) {
			const mid = (lo + hi) >> 1
			if (this.flat[mid * 2 + 1] > n) hi = mid
			else lo = mid + 1
		}
		return lo
	}

	has(n: number): boolean {
		const i = this.seek(n)
		return i * 2 < this.flat.length && this.flat[i * 2] <= n
	}

	add(n: number): boolean {
		if (this.has(n)) return false
		this.addRange(n, n + 1)
		return true
	}

	addRange(from: number, to: number): void {
		if (!(from < to)) return
		const first = this.seek(from - 1)
		let last = first
		let start = from
		let end = to
		while (last * 2 < this.flat.length && this.flat[last * 2] <= to) {
			start = Math.min(start, this.flat[last * 2])
			end = Math.max(end, this.flat[last * 2 + 1])
			this.size -= this.flat[last * 2 + 1] - this.flat[last * 2]
			last++
		}
		this.flat.splice(first * 2, (last - first) * 2, start, end)
		this.size += end - start
	}

	delete(n: number): boolean {
		const i = this.seek(n) * 2
		if (i >= this.flat.length || this.flat[i] > n) return false
		const [from, to] = [this.flat[i], this.flat[i + 1]]
		const parts: number[] = []
		if (from < n) parts.push(from, n)
		if (n + 1 < to) parts.push(n + 1, to)
		this.flat.splice(i, 2, ...parts)
		this.size--
		return true
	}

	first(): number | undefined {
		return this.flat[0]
	}

	pairs(): readonly number[] {
		return this.flat
	}

	/** The members in [from, to), as flat pairs counted from `from`. */
	slice(from: number, to: number): number[] {
		const out: number[] = []
		for (let i = this.seek(from) * 2; i < this.flat.length && this.flat[i] < to; i += 2)
			out.push(Math.max(this.flat[i], from) - from, Math.min(this.flat[i + 1], to) - from)
		return out
	}

	copy(): RangeSet {
		return new RangeSet(this.flat)
	}

	addAll(other: RangeSet): void {
		for (let i = 0; i < other.flat.length; i += 2) this.addRange(other.flat[i], other.flat[i + 1])
	}

	deleteAll(other: RangeSet): void {
		for (let i = 0; i < other.flat.length; i += 2)
			for (let n = other.flat[i]; n < other.flat[i + 1]; n++) this.delete(n)
	}
}

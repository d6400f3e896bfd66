import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Clock } from './clock.js'

/** What a day draws from its seed. */
export const draws = (seed: number) => {
	const generator = xoroshiro128plus(seed)
	const random = () => uniformFloat64(generator)
	const one = <T>(of: readonly T[]): T => of[Math.floor(random() * of.length)]
	return { random, one }
}

/** Shares of what happens anyway to which something else happens for a while. */
export class RandomFaults<K extends string> {
	private readonly shares = new Map<K, number>()

	constructor(private readonly clock: Clock) {}

	begin(kind: K, share: number, forMs: number): void {
		this.shares.set(kind, share)
		this.clock.after(forMs, () => this.shares.delete(kind))
	}

	/** Chance is asked only while there is something to decide: days without it stay as they are. */
	happens(kind: K): boolean {
		const share = this.shares.get(kind) ?? 0
		return share > 0 && this.clock.random() < share
	}
}

/** Seeded random draws, and faults that occur with a probability. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Clock } from './clock.js'

/** Returns functions that draw numbers from 0 (inclusive) to 1 (exclusive), and elements of a list, from a seed. */
export const seededDraws = (seed: number) => {
	const generator = xoroshiro128plus(seed)
	const random = () => uniformFloat64(generator)
	const pick = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)]
	return { random, pick }
}

/** Faults that each affect a fraction of messages, transactions or jobs for a limited time. */
export class RandomFaults<Kind extends string> {
	private readonly shares = new Map<Kind, number>()

	constructor(private readonly clock: Clock) {}

	/** Starts a fault that occurs with probability `share` for the next `forMs`. */
	begin(kind: Kind, share: number, forMs: number): void {
		this.shares.set(kind, share)
		this.clock.after(forMs, () => this.shares.delete(kind))
	}

	/** Returns whether the fault occurs now. Draws a random number only while the fault is active. */
	happens(kind: Kind): boolean {
		const share = this.shares.get(kind) ?? 0
		return share > 0 && this.clock.random() < share
	}
}

/** Random draws from a seed, and faults that happen with a probability. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Clock } from './clock.js'

/** Random draws that follow from a seed: numbers from 0 to 1, and elements of a list. */
export const seededDraws = (seed: number) => {
	const generator = xoroshiro128plus(seed)
	const random = () => uniformFloat64(generator)
	const pick = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)]
	return { random, pick }
}

/** Faults that affect a share of messages, transactions or jobs for a while. */
export class RandomFaults<Kind extends string> {
	private readonly shares = new Map<Kind, number>()

	constructor(private readonly clock: Clock) {}

	/** From now on, and for `forMs`, the fault affects a share of what it can affect. */
	begin(kind: Kind, share: number, forMs: number): void {
		this.shares.set(kind, share)
		this.clock.after(forMs, () => this.shares.delete(kind))
	}

	/** Does the fault happen now? Draws a random number only while the fault is under way. */
	happens(kind: Kind): boolean {
		const share = this.shares.get(kind) ?? 0
		return share > 0 && this.clock.random() < share
	}
}

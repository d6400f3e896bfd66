import type { MachineType } from '@heathroad/wire'

/** Boots that are remembered of each type. */
const KEPT = 20
/** Fewer say nothing about how long boots take now. */
const FEW = 5

/**
 * How long machines take to come up, by what was seen lately. A boot takes up to half as long again as the type's
 * figure; some take several times as long, a few never end. In a spell of late boots fixed multiples of the figure gave
 * up, and rented anew, what was about to come (protocol: boot time).
 */
export class BootTimeEstimator {
	private readonly seen = new Map<string, number[]>()

	observe(type: MachineType, afterMs: number): void {
		const list = this.seen.get(type.name) ?? []
		list.push(afterMs / (type.bootS * 1000))
		this.seen.set(type.name, list.slice(-KEPT))
	}

	/** Boot times of the type, as a multiple of its figure, that all but the odd one keep. */
	private usual(type: MachineType): number {
		const ratios = [...(this.seen.get(type.name) ?? [])].sort((a, b) => a - b)
		const most = ratios.length < FEW ? 0 : ratios[Math.floor(ratios.length * 0.9) - 1]
		return Math.min(6, Math.max(1.8, most * 1.2))
	}

	/** After this long a machine is no longer counted on, and another is rented for its work. */
	giveUpAfterMs(type: MachineType): number {
		return type.bootS * 1000 * this.usual(type)
	}

	/** After this long it is returned. */
	returnAfterMs(type: MachineType): number {
		return this.giveUpAfterMs(type) * (5 / 3)
	}
}

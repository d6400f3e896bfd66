/** Estimates how long rented machines take to boot. */
import type { MachineType } from '@heathroad/wire'

/** Boots that are remembered of each type: enough for a percentile, few enough to follow a spell of slow boots. */
const REMEMBERED_BOOTS = 20

/** Fewer boots are not enough to estimate from. */
const MIN_BOOTS = 5

/** Share of the boots that the estimate covers: all but the odd one. */
const COVERED_SHARE = 0.9

/** Margin on the boots that were seen. */
const MARGIN = 1.2

/** Bounds of the estimate, as multiples of the type's boot time: the longest usual boot, and the worst spell allowed for. */
const MIN_RATIO = 1.8
const MAX_RATIO = 6

/** A machine is returned after this many times the time after which it is given up: it may still come. */
const RETURN_RATIO = 5 / 3

/**
 * How long machines take to boot, by the latest boots. A boot takes up to half as long again as the type's figure; some
 * take several times as long, a few never end. In a spell of late boots, fixed multiples of the figure gave up machines
 * that were about to come, and rented others for them (protocol: boot time).
 */
export class BootTimeEstimator {
	/** the latest boot times by type name, as multiples of the type's figure */
	private readonly ratiosByType = new Map<string, number[]>()

	/** Records that a machine of the type sent its first heartbeat `afterMs` after it was rented. */
	observe(type: MachineType, afterMs: number): void {
		const ratios = this.ratiosByType.get(type.name) ?? []
		ratios.push(afterMs / (type.bootS * 1000))
		this.ratiosByType.set(type.name, ratios.slice(-REMEMBERED_BOOTS))
	}

	/** Ms after which a machine is no longer counted on, and another one is rented for its work. */
	giveUpAfterMs(type: MachineType): number {
		return type.bootS * 1000 * this.usualRatio(type)
	}

	/** Ms after which a machine that has not booted is returned. */
	returnAfterMs(type: MachineType): number {
		return this.giveUpAfterMs(type) * RETURN_RATIO
	}

	/** Boot time, as a multiple of the type's figure, that all but the odd machine keeps. */
	private usualRatio(type: MachineType): number {
		const ratios = [...(this.ratiosByType.get(type.name) ?? [])].sort((a, b) => a - b)
		const covered = ratios.length < MIN_BOOTS ? 0 : ratios[Math.floor(ratios.length * COVERED_SHARE) - 1]
		return Math.min(MAX_RATIO, Math.max(MIN_RATIO, covered * MARGIN))
	}
}

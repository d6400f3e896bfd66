/** Boot time estimates for rented machines. */
import type { MachineType } from '@heathroad/wire'

/** Boots kept per machine type: enough for a percentile, few enough to react to a period of slow boots. */
const MAX_BOOTS = 20

/** Fewer observed boots are not enough for an estimate: its lower bound is used. */
const MIN_BOOTS = 5

/** Quantile of the observed boots that the estimate covers: all but rare outliers. */
const COVERED_QUANTILE = 0.9

/** Safety factor on the observed boot times. */
const SAFETY_FACTOR = 1.2

/** Bounds of the estimate, as multiples of the nominal boot time: the longest usual and the slowest expected boot. */
const MIN_RATIO = 1.8
const MAX_RATIO = 6

/** A machine is released after this multiple of the time after which it is given up: until then it may still boot. */
const RELEASE_FACTOR = 5 / 3

/**
 * Estimates boot times per machine type from the latest boots. Most boots take up to 1.5 times the type's nominal time,
 * some several times as long, and a few never finish. During periods of slow boots, a fixed multiple of the nominal
 * time gave up machines that were about to boot and rented replacements (protocol: boot time).
 */
export class BootTimeEstimator {
	/** the latest boot times by type name, as multiples of the type's nominal boot time */
	private readonly ratiosByType = new Map<string, number[]>()

	/** Records that a machine of the type sent its first heartbeat `afterMs` after it was rented. */
	observe(type: MachineType, afterMs: number): void {
		const ratios = this.ratiosByType.get(type.name) ?? []
		ratios.push(afterMs / (type.bootS * 1000))
		this.ratiosByType.set(type.name, ratios.slice(-MAX_BOOTS))
	}

	/** Ms after which a booting machine is given up, and another one is rented for its work. */
	giveUpAfterMs(type: MachineType): number {
		return type.bootS * 1000 * this.estimatedRatio(type)
	}

	/** Ms after which a machine that has not booted is released to the cloud. */
	releaseAfterMs(type: MachineType): number {
		return this.giveUpAfterMs(type) * RELEASE_FACTOR
	}

	/** Estimated boot time, as a multiple of the type's nominal boot time. */
	private estimatedRatio(type: MachineType): number {
		const ratios = [...(this.ratiosByType.get(type.name) ?? [])].sort((a, b) => a - b)
		const coveredRatio =
			ratios.length < MIN_BOOTS ? 0 : ratios[Math.floor(ratios.length * COVERED_QUANTILE) - 1]
		return Math.min(MAX_RATIO, Math.max(MIN_RATIO, coveredRatio * SAFETY_FACTOR))
	}
}

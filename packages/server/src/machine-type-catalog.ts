/** The machine types that the cloud offers, from the cloud or, while it is unavailable, from the records. */
import type { CloudClient } from '@heathroad/cloud'
import { CATALOG_KEY } from '@heathroad/cluster'
import { KEY_PREFIX, WritePriority } from '@heathroad/store'
import type { MachineType } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'

/** Delay in controller leases before the retry of a fetch that returned no types. */
const RETRY_LEASES = 0.2
/** Interval between refreshes in controller leases: types change rarely, and cloud calls are rate-limited. */
const REFRESH_LEASES = 8

/** Holds the machine types and refreshes them from the cloud. */
export class MachineTypeCatalog {
	private knownTypes: readonly MachineType[] = []

	/** @param onFirstKnown called when types are known for the first time */
	constructor(
		private readonly context: ControllerContext,
		private readonly cloud: CloudClient,
		private readonly onFirstKnown: () => void,
	) {}

	/** Machine types; empty until they are known. */
	get types(): readonly MachineType[] {
		return this.knownTypes
	}

	/** Called when the recorded types have changed; they are used only until the cloud has returned its own. */
	onRecordChanged(data: unknown): void {
		if (this.knownTypes.length === 0 && Array.isArray(data)) this.setTypes(data as MachineType[])
	}

	/** Fetches the types from the cloud periodically, forever. */
	watch(): Effect.Effect<never> {
		const { controllerLeaseMs } = this.context.config.limits
		const refresh = Effect.suspend(() => this.cloud.fetchMachineTypes()).pipe(
			Effect.flatMap((types) => {
				if (types === null || types.length === 0) return Effect.sleep(controllerLeaseMs * RETRY_LEASES)
				this.setTypes(types)
				this.recordTypes(types)
				return Effect.sleep(controllerLeaseMs * REFRESH_LEASES)
			}),
		)
		return Effect.forever(refresh)
	}

	private setTypes(types: readonly MachineType[]): void {
		if (types.length === 0) return
		const isFirst = this.knownTypes.length === 0
		this.knownTypes = types
		if (isFirst) this.onFirstKnown()
	}

	/** Records the types once, for controllers that start while the cloud is unavailable. */
	private recordTypes(types: readonly MachineType[]): void {
		const { cache, writeQueue, config, now } = this.context
		if (cache.revision < 0 || cache.get(CATALOG_KEY) !== undefined) return
		const key = KEY_PREFIX + CATALOG_KEY
		writeQueue.enqueue({
			priority: WritePriority.progress,
			build: () => ({
				conditions: [{ key, modRevision: 0 }],
				mutations: [{ set: key, data: types }],
			}),
			deadline: now() + config.limits.controllerLeaseMs,
			onResult: () => {},
		})
	}
}

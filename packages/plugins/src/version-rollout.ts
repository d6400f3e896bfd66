/** Version rollout of one plug-in: loading, activation, probation and rollback. */
import type { LogEvent } from '@heathroad/logging'
import type { LoadedPlugin } from './plugin-directory.js'
import { PluginInstance, type PluginInstanceContext, type PluginInstanceListener } from './plugin-instance.js'

/** Number of valid answers that a new version must give before the previous one is ended. */
const PROBATION_CALLS = 3
const REPLACED = 'replaced by a newer version'

/** Writes a log event. */
export type Log = (level: 'info' | 'error', event: LogEvent, fields: Record<string, unknown>) => void

const isSamePlugin = (instance: PluginInstance | null, { manifest }: LoadedPlugin): boolean => {
	if (instance === null) return false
	const own = instance.plugin.manifest
	return own.digest === manifest.digest && JSON.stringify(own) === JSON.stringify(manifest)
}

/**
 * Rolls out versions. A new version is loaded while the active one keeps running, and becomes active once it is ready.
 * The previous version stays loaded until the new one has given a few valid answers; a failure rolls back to it.
 */
export class VersionRollout {
	upgrades = 0
	rollbacks = 0
	private activeInstance: PluginInstance | null = null
	/** started, but not ready yet */
	private loadingInstance: PluginInstance | null = null
	/** the previous version, kept while the active one is on probation */
	private previousInstance: PluginInstance | null = null
	/** number of valid answers that the active version must still give to pass its probation */
	private probationCallsLeft = 0
	/** digests of versions that failed, which are not loaded again */
	private readonly rejectedDigests = new Set<string>()

	constructor(
		private readonly name: string,
		private readonly context: PluginInstanceContext,
		private readonly listener: PluginInstanceListener,
		private readonly log: Log,
	) {}

	/** The version that takes calls; null if none has been ready yet or the plug-in was removed. */
	get active(): PluginInstance | null {
		return this.activeInstance
	}

	/** The version that was started and is not ready yet. */
	get loading(): PluginInstance | null {
		return this.loadingInstance
	}

	/** The version to which a failure of the active one rolls back. */
	get previous(): PluginInstance | null {
		return this.previousInstance
	}

	/** Allows rejected versions to be loaded again. */
	forgetRejected(): void {
		this.rejectedDigests.clear()
	}

	/** Starts to load a version unless it is active, is being loaded or was rejected. */
	load(plugin: LoadedPlugin): void {
		const { digest, version } = plugin.manifest
		const newest = this.loadingInstance ?? this.activeInstance
		if (isSamePlugin(newest, plugin) || this.rejectedDigests.has(digest)) return
		this.loadingInstance?.end(REPLACED)
		this.log('info', 'plug-in loading', { plugin: this.name, version, digest })
		this.loadingInstance = new PluginInstance(plugin, this.context, this.listener)
		this.loadingInstance.start()
	}

	/** Ends all versions of a removed plug-in. No version is active any more when their calls fail. */
	remove(why: string): void {
		const instances = this.instances()
		this.clear()
		for (const instance of instances) instance?.end(why)
	}

	/** Ends all versions for a shutdown. The active version stays active until all have ended. */
	shutDown(why: string): void {
		for (const instance of this.instances()) instance?.end(why)
		this.clear()
	}

	/** Makes a version that has been loaded the active one. */
	activate(instance: PluginInstance): void {
		this.loadingInstance = null
		// While the active version is on probation, only the previous one is known to work.
		const previous = this.previousInstance ?? this.activeInstance
		const replaced = this.previousInstance === null ? null : this.activeInstance
		this.activeInstance = instance
		this.previousInstance = previous
		if (replaced !== null) this.retire(replaced)
		this.probationCallsLeft = PROBATION_CALLS
		if (previous !== null) this.upgrades++
		this.log('info', 'plug-in version active', {
			plugin: this.name,
			version: instance.version,
			after: previous?.version ?? null,
		})
	}

	/** Handles a version that could not be loaded: rejects it, or schedules a restart if no version is active. */
	loadFailed(instance: PluginInstance, why: string): void {
		if (instance === this.loadingInstance && this.activeInstance !== null) {
			this.loadingInstance = null
			this.reject(instance, `could not be loaded: ${why}`)
			return
		}
		const { version, digest } = instance.plugin.manifest
		this.log('error', 'plug-in load failed', { plugin: this.name, version, digest, why })
		instance.restartLater()
	}

	/** Counts a valid answer of a version that is on probation. */
	recordAnswer(instance: PluginInstance): void {
		const previous = this.previousInstance
		if (instance !== this.activeInstance || previous === null) return
		this.probationCallsLeft--
		if (this.probationCallsLeft > 0) return
		this.log('info', 'plug-in version kept', { plugin: this.name, version: instance.version })
		this.previousInstance = null
		this.retire(previous)
	}

	/** Rejects the active version and makes the previous one active again. */
	rollBack(to: PluginInstance, from: PluginInstance, why: string): void {
		this.activeInstance = to
		this.previousInstance = null
		this.reject(from, why)
	}

	/** Ends a version that is neither active nor loading nor previous. */
	endIfUnused(instance: PluginInstance): void {
		if (!this.instances().includes(instance)) instance.end(REPLACED)
	}

	private clear(): void {
		this.activeInstance = null
		this.loadingInstance = null
		this.previousInstance = null
	}

	private instances(): readonly (PluginInstance | null)[] {
		return [this.activeInstance, this.loadingInstance, this.previousInstance]
	}

	private reject(instance: PluginInstance, why: string): void {
		const { version, digest } = instance.plugin.manifest
		this.rejectedDigests.add(digest)
		this.rollbacks++
		this.log('error', 'plug-in version rejected', {
			plugin: this.name,
			version,
			digest,
			why,
			in_force: this.activeInstance?.version ?? null,
		})
		instance.end(why)
	}

	/** Ends a replaced version at once, or once its call in flight has ended (see `endIfUnused`). */
	private retire(instance: PluginInstance): void {
		if (!instance.isBusy) instance.end(REPLACED)
	}
}

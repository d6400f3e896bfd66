/** One controller as a long-lived process: the service and what is optional beside it, reloads, signals and the end. */

import { type Config, type OperatorSettings, readOperatorSettings } from '@heathroad/config'
import type { GrpcServer } from '@heathroad/grpc'
import type { Log } from '@heathroad/logging'
import type { PluginHost } from '@heathroad/plugins'
import { Service } from '@heathroad/server'
import { type AdminTarget, answerAdmin } from './admin.js'
import { Drain } from './drain.js'
import { openPlugins } from './open-plugins.js'

/** Sections of the operators' settings that a reload applies. */
const RELOADABLE: readonly (keyof OperatorSettings)[] = ['tuning', 'plugins']

/** How long gRPC calls under way may take at the end, in ms. */
const GRPC_GRACE_MS = 500

const EXIT_DRAINED = 0
const EXIT_IMMEDIATE = 1

/** Sections that differ and that only a restart applies. */
export const sectionsNeedingRestart = (before: Config, after: OperatorSettings): string[] =>
	(Object.keys(after) as (keyof OperatorSettings)[])
		.filter((section) => !RELOADABLE.includes(section))
		.filter((section) => JSON.stringify(before[section]) !== JSON.stringify(after[section]))

/** A controller process. Optional parts are loaded only if the settings have a section for them. */
export class ControllerProcess implements AdminTarget {
	readonly service: Service
	readonly drain: Drain
	plugins: PluginHost | null = null
	private grpc: GrpcServer | null = null
	private metrics: { close(): void } | null = null
	private ending = false

	/**
	 * @param iniPath the operators' settings, read again by a reload; undefined: there is no file
	 * @param exit ends the process with an exit code
	 */
	constructor(
		private readonly config: Config,
		private readonly iniPath: string | undefined,
		private readonly log: Log,
		private readonly exit: (code: number) => void,
	) {
		this.service = new Service(config, log)
		this.drain = new Drain(this.service, config.daemon, log)
		this.service.adminHandler = (path, body, respond) => answerAdmin(this, path, body, respond)
	}

	/** Starts to serve. Rejects if an address cannot be listened at. */
	async start(): Promise<void> {
		const { plugins, grpc, metrics } = this.config
		// Before the first user: a job accepted without its admission checks would never undergo them.
		if (plugins !== null) this.plugins = await openPlugins(this.service, plugins)
		// Before the first full read: what that read leaves out of memory is told to observers only.
		if (grpc !== null) {
			const { GrpcServer } = await import('@heathroad/grpc')
			this.grpc = new GrpcServer(this.service, grpc)
		}
		await this.service.start()
		await this.grpc?.start()
		if (metrics !== null) {
			const { serveMetrics } = await import('@heathroad/metrics')
			this.metrics = await serveMetrics(metrics.listen, {
				figures: () => this.service.operatorStats(),
				plugins: () => this.plugins?.list() ?? [],
			})
		}
	}

	/** Applies changed settings; returns what could not be applied, a line each. Rejects if the file is invalid. */
	async reload(): Promise<string[]> {
		const settings = readOperatorSettings(this.iniPath)
		const lines = sectionsNeedingRestart(this.config, settings).map(
			(section) => `[${section}] has changed: restart to take it over`,
		)
		// In place: shards read the tuning from this object whenever they need it.
		Object.assign(this.config.tuning, settings.tuning)
		lines.push(...(await this.reloadPlugins(settings)))
		this.config.plugins = settings.plugins
		this.log('info', 'settings reloaded', { lines })
		return lines
	}

	/** Drains, then ends the process. Further calls do nothing. */
	beginDrain(): void {
		if (this.ending) return
		this.ending = true
		void this.drain.begin().then(() => this.close())
	}

	/** Handles a signal to end: the first one begins the drain, the second one ends the process at once. */
	signalled(): void {
		if (this.ending) {
			this.log('info', 'immediate shutdown', { phase: this.drain.phase })
			this.exit(EXIT_IMMEDIATE)
			return
		}
		this.beginDrain()
	}

	private async reloadPlugins({ plugins: settings }: OperatorSettings): Promise<string[]> {
		if (settings === null) {
			this.plugins?.stop()
			if (this.plugins !== null) this.service.disableChecks()
			this.plugins = null
			return []
		}
		if (this.plugins === null) {
			this.plugins = await openPlugins(this.service, settings)
			return []
		}
		this.plugins.configure(settings)
		return this.plugins.scanDirectory(true)
	}

	private async close(): Promise<void> {
		this.plugins?.stop()
		this.metrics?.close()
		await this.grpc?.stop(GRPC_GRACE_MS)
		await this.service.stop()
		await this.service.revokeLease()
		this.log('info', 'controller stopped')
		this.exit(EXIT_DRAINED)
	}
}

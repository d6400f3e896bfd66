/** The process of one controller: starts the service and its optional parts, handles reloads, signals and shutdown. */

import { type Config, type OperatorSettings, readOperatorSettings } from '@heathroad/config'
import type { GrpcServer } from '@heathroad/grpc'
import type { Log } from '@heathroad/logging'
import type { PluginHost } from '@heathroad/plugins'
import { Service } from '@heathroad/server'
import { type AdminTarget, handleAdminRequest } from './admin.js'
import { Drain } from './drain.js'
import { openPlugins } from './open-plugins.js'

/** Sections of the operators' settings that a reload applies. */
const RELOADABLE_SECTIONS: readonly (keyof OperatorSettings)[] = ['tuning', 'plugins']

/** Grace period for gRPC calls in flight at shutdown, in ms. */
const GRPC_GRACE_MS = 500

const EXIT_DRAINED = 0
const EXIT_IMMEDIATE = 1

/** Returns the sections that have changed and take effect only after a restart. */
export const sectionsNeedingRestart = (before: Config, after: OperatorSettings): string[] =>
	(Object.keys(after) as (keyof OperatorSettings)[])
		.filter((section) => !RELOADABLE_SECTIONS.includes(section))
		.filter((section) => JSON.stringify(before[section]) !== JSON.stringify(after[section]))

/** A controller process. Plug-ins, gRPC and metrics are loaded only if the settings have a section for them. */
export class ControllerProcess implements AdminTarget {
	readonly service: Service
	readonly drain: Drain
	plugins: PluginHost | null = null
	private grpc: GrpcServer | null = null
	private metrics: { close(): void } | null = null
	private isEnding = false

	/**
	 * @param iniPath file of the operators' settings, which a reload reads again; undefined if there is none
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
		this.service.adminHandler = (path, body, respond) => handleAdminRequest(this, path, body, respond)
	}

	/** Starts to serve. Rejects if it cannot listen at an address. */
	async start(): Promise<void> {
		const { plugins, grpc, metrics } = this.config
		// Before the first submission: a job accepted without its admission checks would never undergo them.
		if (plugins !== null) this.plugins = await openPlugins(this.service, plugins)
		// Before the first full read: records that it does not keep in memory are only delivered to observers.
		if (grpc !== null) {
			const { GrpcServer } = await import('@heathroad/grpc')
			this.grpc = new GrpcServer(this.service, grpc)
		}
		await this.service.start()
		await this.grpc?.start()
		if (metrics !== null) {
			const { serveMetrics } = await import('@heathroad/metrics')
			this.metrics = await serveMetrics(metrics.listen, {
				stats: () => this.service.operatorStats(),
				plugins: () => this.plugins?.list() ?? [],
			})
		}
	}

	/** Applies changed settings; returns what could not be applied, one item per line. Rejects if the file is invalid. */
	async reload(): Promise<string[]> {
		const settings = readOperatorSettings(this.iniPath)
		const lines = sectionsNeedingRestart(this.config, settings).map(
			(section) => `[${section}] has changed: restart to take it over`,
		)
		// Updated in place, since shards read the tuning from this object whenever they need it.
		Object.assign(this.config.tuning, settings.tuning)
		lines.push(...(await this.reloadPlugins(settings)))
		this.config.plugins = settings.plugins
		this.log('info', 'settings reloaded', { lines })
		return lines
	}

	/** Drains the controller, then ends the process. Further calls do nothing. */
	beginDrain(): void {
		if (this.isEnding) return
		this.isEnding = true
		void this.drain.begin().then(() => this.close())
	}

	/** Handles a termination signal: the first one begins the drain, a second one ends the process at once. */
	handleSignal(): void {
		if (this.isEnding) {
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

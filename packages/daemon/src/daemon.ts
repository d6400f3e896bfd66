import { type Config, readOperatorSettings } from '@heathroad/config'
import type { GrpcFace } from '@heathroad/grpc'
import type { Log } from '@heathroad/logging'
import type { PluginHost } from '@heathroad/plugins'
import { Service } from '@heathroad/server'
import { answerAdmin, type Daemon } from './admin.js'
import { Drain } from './drain.js'
import { openPlugins } from './plugins.js'

/** What an operator may change without a restart. */
const LIVE = ['tuning', 'plugins'] as const

/** The settings that differ and are read only at a start, as their sections are called. */
export const needRestart = (before: Config, after: ReturnType<typeof readOperatorSettings>): string[] =>
	(Object.keys(after) as (keyof typeof after)[])
		.filter((key) => !LIVE.includes(key as 'tuning'))
		.filter((key) => JSON.stringify(before[key]) !== JSON.stringify(after[key]))

/** One controller as a long-lived process: what it serves beside its core, reloads, and a quiet end. */
export class Running implements Daemon {
	readonly service: Service
	readonly drain: Drain
	plugins: PluginHost | null = null
	private grpc: GrpcFace | null = null
	private metrics: { close(): void } | null = null
	private ending = false

	constructor(
		private readonly config: Config,
		private readonly ini: string | undefined,
		private readonly log: Log,
		/** ends the process */
		private readonly exit: (code: number) => void,
	) {
		this.service = new Service(config, log)
		this.drain = new Drain(this.service, config.daemon, log)
		this.service.adminHandler = (path, body, respond) => answerAdmin(this, path, body, respond)
	}

	/** Rejects if an address cannot be listened at. What no section asks for is not loaded. */
	async start(): Promise<void> {
		const { plugins, grpc, metrics } = this.config
		// Before the first user: a job that is accepted without its checks would never meet them.
		if (plugins !== null) this.plugins = await openPlugins(this.service, plugins)
		await this.service.start()
		if (grpc !== null) {
			const { GrpcFace } = await import('@heathroad/grpc')
			this.grpc = new GrpcFace(this.service, grpc)
			await this.grpc.start()
		}
		if (metrics !== null) {
			const { serveMetrics } = await import('@heathroad/metrics')
			this.metrics = await serveMetrics(metrics.listen, {
				figures: () => this.service.figures(),
				plugins: () => this.plugins?.list() ?? [],
			})
		}
	}

	async reload(): Promise<string[]> {
		const fresh = readOperatorSettings(this.ini)
		const lines = needRestart(this.config, fresh).map(
			(key) => `[${key}] has changed: restart to take it over`,
		)
		// Parts read it whenever they look.
		Object.assign(this.config.tuning, fresh.tuning)
		if (fresh.plugins === null) {
			this.plugins?.stop()
			if (this.plugins !== null) this.service.disableChecks()
			this.plugins = null
		} else if (this.plugins === null) this.plugins = await openPlugins(this.service, fresh.plugins)
		else {
			this.plugins.configure(fresh.plugins)
			lines.push(...(await this.plugins.look(true)))
		}
		this.config.plugins = fresh.plugins
		this.log('info', 'settings reloaded', { lines })
		return lines
	}

	/** The first time: a drain, then the end. The second time: the end. */
	end(): void {
		if (this.ending) return
		this.ending = true
		void this.drain.begin().then(() => this.close())
	}

	signalled(): void {
		if (this.ending) {
			this.log('info', 'immediate shutdown', { phase: this.drain.phase })
			return this.exit(1)
		}
		this.end()
	}

	private async close(): Promise<void> {
		this.plugins?.stop()
		this.metrics?.close()
		await this.grpc?.stop(500)
		await this.service.stop()
		await this.service.revokeLease()
		this.log('info', 'controller stopped')
		this.exit(0)
	}
}

/** The gauges of a controller's metrics page. */

import type { PluginInfo } from '@heathroad/plugins'
import { Gauge, Registry } from 'prom-client'

/** Source of the values, which are computed when the page is requested. */
export interface MetricsSource {
	stats(): Record<string, number | string | boolean>
	plugins(): readonly PluginInfo[]
}

/** Prefix of all metrics. */
const PREFIX = 'heathroad_'

/** Name and help text of each statistic's gauge. */
const STAT_GAUGES: Record<string, { name: string; help: string }> = {
	parts: { name: 'parts', help: 'parts that this controller owns' },
	openJobs: { name: 'open_jobs', help: 'jobs of the service that are not over, as known here' },
	ownJobs: { name: 'own_jobs', help: 'jobs of the parts that this controller owns, held ones left out' },
	heldJobs: { name: 'held_jobs', help: 'jobs of those parts that wait for their checks' },
	machines: { name: 'machines', help: 'machines of those parts' },
	endedInMemory: { name: 'ended_jobs_in_memory', help: 'final states held in memory' },
	epoch: { name: 'state_epoch', help: 'epoch of the state up to which records are known; -1: none yet' },
	healthy: { name: 'healthy', help: '1: users can be served' },
}

/** Values of the label `right`: the kinds of leadership status, by their names on the wire. */
const LEADERSHIP_LABELS = ['grant', 'promise', 'none']

/** Fields of `PluginInfo` that have a gauge each. */
const PLUGIN_COUNTS = ['queued', 'asked', 'answered', 'unsure', 'upgrades', 'rollbacks'] as const

/** All gauges, in a separate registry. The page lists them in order of creation. */
export class ControllerGauges {
	private readonly registry = new Registry()
	private readonly gaugesByStat = new Map(
		Object.entries(STAT_GAUGES).map(([stat, { name, help }]) => [stat, this.gauge(name, help)]),
	)
	private readonly memory = this.gauge('memory_bytes', 'resident memory of the process')
	private readonly leadership = this.gauge(
		'right',
		'1 for what this controller may act by: grant, promise, none',
		'right',
	)
	private readonly gaugesByPluginCount = new Map(
		PLUGIN_COUNTS.map((count) => [
			count,
			this.gauge(
				`plugin_${count}`,
				count === 'queued' ? 'questions that wait' : `${count} since the start`,
				'plugin',
			),
		]),
	)

	constructor(private readonly source: MetricsSource) {}

	/** Media type of the page. */
	get contentType(): string {
		return this.registry.contentType
	}

	/** Sets all gauges to the current values and renders the page. */
	render(): Promise<string> {
		const stats = this.source.stats()
		for (const [stat, gauge] of this.gaugesByStat) gauge.set(Number(stats[stat] ?? 0))
		for (const label of LEADERSHIP_LABELS)
			this.leadership.set({ right: label }, Number(stats.right === label))
		this.memory.set(process.memoryUsage.rss())
		const plugins = this.source.plugins()
		for (const [count, gauge] of this.gaugesByPluginCount) {
			gauge.reset()
			for (const plugin of plugins) gauge.set({ plugin: plugin.name }, plugin[count])
		}
		return this.registry.metrics()
	}

	private gauge(name: string, help: string, ...labelNames: string[]): Gauge {
		return new Gauge({ name: `${PREFIX}${name}`, help, labelNames, registers: [this.registry] })
	}
}

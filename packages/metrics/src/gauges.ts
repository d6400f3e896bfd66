/** The gauges of a controller's metrics page, and how they are set. */

import type { PluginInfo } from '@heathroad/plugins'
import { Gauge, Registry } from 'prom-client'

/** Where the values come from; each is computed when the page is requested. */
export interface MetricsSource {
	figures(): Record<string, number | string | boolean>
	plugins(): readonly PluginInfo[]
}

/** Prefix of all metrics. */
const PREFIX = 'heathroad_'

/** By figure: name and help text of its gauge. */
const FIGURE_GAUGES: Record<string, { name: string; help: string }> = {
	parts: { name: 'parts', help: 'parts that this controller owns' },
	openJobs: { name: 'open_jobs', help: 'jobs of the service that are not over, as known here' },
	ownJobs: { name: 'own_jobs', help: 'jobs of the parts that this controller owns, held ones left out' },
	heldJobs: { name: 'held_jobs', help: 'jobs of those parts that wait for their checks' },
	machines: { name: 'machines', help: 'machines of those parts' },
	endedInMemory: { name: 'ended_jobs_in_memory', help: 'final states held in memory' },
	epoch: { name: 'state_epoch', help: 'epoch of the state up to which records are known; -1: none yet' },
	healthy: { name: 'healthy', help: '1: users can be served' },
}

/** Values of the label `right`: the kinds of leadership, by their names on the wire. */
const LEADERSHIP_LABELS = ['grant', 'promise', 'none']

/** Counts of a plug-in that have a gauge each. */
const PLUGIN_COUNTS = ['queued', 'asked', 'answered', 'unsure', 'upgrades', 'rollbacks'] as const

/** All gauges, in a registry of their own. Their order of creation is their order on the page. */
export class ControllerGauges {
	private readonly registry = new Registry()
	private readonly byFigure = new Map(
		Object.entries(FIGURE_GAUGES).map(([figure, { name, help }]) => [figure, this.gauge(name, help)]),
	)
	private readonly memory = this.gauge('memory_bytes', 'resident memory of the process')
	private readonly leadership = this.gauge(
		'right',
		'1 for what this controller may act by: grant, promise, none',
		'right',
	)
	private readonly byPluginCount = new Map(
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

	/** Sets all gauges to the values of this moment and renders the page. */
	render(): Promise<string> {
		const figures = this.source.figures()
		for (const [figure, gauge] of this.byFigure) gauge.set(Number(figures[figure] ?? 0))
		for (const label of LEADERSHIP_LABELS)
			this.leadership.set({ right: label }, Number(figures.right === label))
		this.memory.set(process.memoryUsage.rss())
		const plugins = this.source.plugins()
		for (const [count, gauge] of this.byPluginCount) {
			gauge.reset()
			for (const plugin of plugins) gauge.set({ plugin: plugin.name }, plugin[count])
		}
		return this.registry.metrics()
	}

	private gauge(name: string, help: string, ...labelNames: string[]): Gauge {
		return new Gauge({ name: `${PREFIX}${name}`, help, labelNames, registers: [this.registry] })
	}
}

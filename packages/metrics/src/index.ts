import * as http from 'node:http'
import type { PluginInfo } from '@heathroad/plugins'
import { Gauge, Registry } from 'prom-client'

/** What is told, counted when somebody asks. */
export interface Figures {
	figures(): Record<string, number | string | boolean>
	plugins(): readonly PluginInfo[]
}

const NAMES: Record<string, [name: string, help: string]> = {
	parts: ['parts', 'parts that this controller owns'],
	openJobs: ['open_jobs', 'jobs of the service that are not over, as known here'],
	ownJobs: ['own_jobs', 'jobs of the parts that this controller owns, held ones left out'],
	heldJobs: ['held_jobs', 'jobs of those parts that wait for their checks'],
	machines: ['machines', 'machines of those parts'],
	endedInMemory: ['ended_jobs_in_memory', 'final states held in memory'],
	epoch: ['state_epoch', 'epoch of the state up to which records are known; -1: none yet'],
	healthy: ['healthy', '1: users can be served'],
}
const PLUGIN = ['queued', 'asked', 'answered', 'unsure', 'upgrades', 'rollbacks'] as const

/** A page for Prometheus at an address of its own; nothing is counted between two requests for it. */
export const serveMetrics = async (
	listen: string,
	from: Figures,
): Promise<{ close(): void; port: number }> => {
	const registers = [new Registry()]
	const [registry] = registers
	const gauges = new Map(
		Object.entries(NAMES).map(([key, [name, help]]) => [
			key,
			new Gauge({ name: `heathroad_${name}`, help, registers }),
		]),
	)
	const memory = new Gauge({
		name: 'heathroad_memory_bytes',
		help: 'resident memory of the process',
		registers,
	})
	const right = new Gauge({
		name: 'heathroad_right',
		help: '1 for what this controller may act by: grant, promise, none',
		labelNames: ['right'],
		registers,
	})
	const plugins = new Map(
		PLUGIN.map((key) => [
			key,
			new Gauge({
				name: `heathroad_plugin_${key}`,
				help: key === 'queued' ? 'questions that wait' : `${key} since the start`,
				labelNames: ['plugin'],
				registers,
			}),
		]),
	)
	const server = http.createServer((request, response) => {
		if (request.method !== 'GET' || request.url?.split('?', 1)[0] !== '/metrics') {
			response.writeHead(404).end()
			return
		}
		const figures = from.figures()
		for (const [key, gauge] of gauges) gauge.set(Number(figures[key] ?? 0))
		for (const one of ['grant', 'promise', 'none']) right.set({ right: one }, Number(figures.right === one))
		memory.set(process.memoryUsage.rss())
		for (const [key, gauge] of plugins) {
			gauge.reset()
			for (const p of from.plugins()) gauge.set({ plugin: p.name }, p[key])
		}
		void registry.metrics().then((text) => {
			response.writeHead(200, { 'content-type': registry.contentType }).end(text)
		})
	})
	server.maxConnections = 8
	server.unref()
	const colon = listen.lastIndexOf(':')
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject)
		server.listen(Number(listen.slice(colon + 1)), listen.slice(0, colon), () => resolve())
	})
	const { port } = server.address() as { port: number }
	return {
		port,
		close: () => {
			server.close()
			server.closeAllConnections()
		},
	}
}

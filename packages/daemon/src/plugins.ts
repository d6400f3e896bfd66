import type { PluginsSettings } from '@heathroad/config'
import { readManifest } from '@heathroad/plugin-api'
import type { PluginHost } from '@heathroad/plugins'
import type { Service } from '@heathroad/server'

/** Loads the plug-ins' code and whatever lies in their directory; from then on the service asks them. */
export const openPlugins = async (service: Service, settings: PluginsSettings): Promise<PluginHost> => {
	const { PluginHost, scanDirectory, threads, THREAD_FILE } = await import('@heathroad/plugins')
	const teams = service.config.settings.deployment.teams
	const host = new PluginHost(settings, {
		now: service.now,
		scan: (dir) => scanDirectory(dir, readManifest),
		seating: threads(THREAD_FILE),
		log: service.log,
		team: (name) => {
			const t = teams.find((one) => one.name === name)
			return {
				name,
				cpus: t?.cpus ?? 0,
				gpus: t?.gpus ?? 0,
				cpusMax: t?.cpus_max ?? 0,
				gpusMax: t?.gpus_max ?? 0,
			}
		},
		teamJobs: (name) => service.openJobsOfTeam(name),
	})
	await host.start()
	service.checks = host
	return host
}

/** Starts the plug-in host of a controller. */

import type { PluginsSettings } from '@heathroad/config'
import { readManifest } from '@heathroad/plugin-api'
import type { PluginHost } from '@heathroad/plugins'
import type { Service } from '@heathroad/server'

/** What plug-ins may know of a team; a team that the settings do not name has no guarantee and no limit. */
const describeTeam = (service: Service, name: string) => {
	const settings = service.config.settings.deployment.teams.find((team) => team.name === name)
	return {
		name,
		cpus: settings?.cpus ?? 0,
		gpus: settings?.gpus ?? 0,
		cpusMax: settings?.cpus_max ?? 0,
		gpusMax: settings?.gpus_max ?? 0,
	}
}

/** Loads the plug-in host and the plug-ins in their directory; from then on the service consults them. */
export const openPlugins = async (service: Service, settings: PluginsSettings): Promise<PluginHost> => {
	const { PluginHost, scanDirectory, workerThreadRuntimes, THREAD_FILE } = await import('@heathroad/plugins')
	const host = new PluginHost(settings, {
		now: service.now,
		scan: (directory) => scanDirectory(directory, readManifest),
		startRuntime: workerThreadRuntimes(THREAD_FILE),
		log: service.log,
		team: (name) => describeTeam(service, name),
		teamJobs: (name) => service.openJobsOfTeam(name),
	})
	await host.start()
	service.checks = host
	return host
}

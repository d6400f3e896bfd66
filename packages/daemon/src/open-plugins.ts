/** Starts the plug-in host of a controller. */

import type { PluginsSettings } from '@heathroad/config'
import { readManifest } from '@heathroad/plugin-api'
import type { PluginHost } from '@heathroad/plugins'
import type { Service } from '@heathroad/server'

/** Returns a team's guarantee and limit for plug-ins; a team that the settings do not name has neither (0). */
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

/** Starts the plug-in host, loads the plug-ins in its directory, and registers it as the service's admission checks. */
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

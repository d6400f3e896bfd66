/** Handles operators' requests to a running controller, which arrive at its internal address. */

import type { PluginHost } from '@heathroad/plugins'
import type { Respond } from '@heathroad/server'
import { type HttpReply, isMap } from '@heathroad/wire'
import type { Drain } from './drain.js'

/** Operations of a running controller that operators can request. */
export interface AdminTarget {
	/** null if no plug-ins are loaded */
	readonly plugins: PluginHost | null
	readonly drain: Drain
	/** Reads the INI file and the plug-in directory again; returns what could not be applied, one item per line. */
	reload(): Promise<string[]>
	/** Begins the drain; the process exits after it. */
	beginDrain(): void
}

const refuse = (status: number, error: string): HttpReply => ({ status, body: { error } })

const setPluginDisabled = (host: PluginHost | null, body: unknown, disabled: boolean): HttpReply => {
	if (host === null) return refuse(409, 'no plug-ins are loaded: the settings have no section [plugins]')
	const name = isMap(body) && typeof body.name === 'string' ? body.name : null
	if (name === null) return refuse(400, 'name: Expected the name of a plug-in')
	if (!host.disable(name, disabled))
		return refuse(404, `no plug-in ${name}: it has no section [plugin.${name}]`)
	return { status: 200, body: { plugins: host.list() } }
}

/** Handles one request; responds synchronously except for a reload. */
export const handleAdminRequest = (
	daemon: AdminTarget,
	path: string,
	body: unknown,
	respond: Respond,
): void => {
	const host = daemon.plugins
	switch (path) {
		case '/admin/plugins':
			respond({ status: 200, body: { plugins: host?.list() ?? [] } })
			return
		case '/admin/disable':
			respond(setPluginDisabled(host, body, true))
			return
		case '/admin/enable':
			respond(setPluginDisabled(host, body, false))
			return
		case '/admin/reload':
			void daemon.reload().then(
				(lines) => respond({ status: 200, body: { lines } }),
				(error) => respond(refuse(409, (error as Error).message)),
			)
			return
		case '/admin/drain':
			daemon.beginDrain()
			respond({ status: 202, body: { phase: daemon.drain.phase } })
			return
		default:
			respond(refuse(404, 'no such path'))
			return
	}
}

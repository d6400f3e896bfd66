import type { PluginHost } from '@heathroad/plugins'
import type { Respond } from '@heathroad/server'
import { isMap } from '@heathroad/wire'
import type { Drain } from './drain.js'

/** What operators may ask of a running daemon, at its internal address. */
export interface Daemon {
	readonly plugins: PluginHost | null
	readonly drain: Drain
	/** Reads the INI file and the directory of plug-ins again; what could not be taken over, a line each. */
	reload(): Promise<string[]>
	/** Begins the drain; the process ends with it. */
	end(): void
}

const refusal = (status: number, error: string) => ({ status, body: { error } })

const named = (host: PluginHost | null, body: unknown, off: boolean) => {
	const name = isMap(body) && typeof body.name === 'string' ? body.name : null
	if (host === null) return refusal(409, 'no plug-ins are loaded: the settings have no section [plugins]')
	if (name === null) return refusal(400, 'name: Expected the name of a plug-in')
	if (!host.disable(name, off)) return refusal(404, `no plug-in ${name}: it has no section [plugin.${name}]`)
	return { status: 200, body: { plugins: host.list() } }
}

/** Answers one call; nothing here waits but a reload. */
export const answerAdmin = (daemon: Daemon, path: string, body: unknown, respond: Respond): void => {
	const host = daemon.plugins
	if (path === '/admin/plugins') respond({ status: 200, body: { plugins: host?.list() ?? [] } })
	else if (path === '/admin/disable') respond(named(host, body, true))
	else if (path === '/admin/enable') respond(named(host, body, false))
	else if (path === '/admin/reload')
		void daemon.reload().then(
			(lines) => respond({ status: 200, body: { lines } }),
			(e) => respond(refusal(409, (e as Error).message)),
		)
	else if (path === '/admin/drain') {
		daemon.end()
		respond({ status: 202, body: { phase: daemon.drain.phase } })
	} else respond(refusal(404, 'no such path'))
}

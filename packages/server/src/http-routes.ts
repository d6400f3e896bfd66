/** Routes of the public HTTP address (users, machines, load balancer) and of the internal one (peers, operators). */
import type { ControllerContext } from './controller-context.js'
import type { HeartbeatRouter } from './heartbeat-router.js'
import { UNAVAILABLE } from './http-replies.js'
import type { HttpRequest, RequestHandler, Respond } from './http-server.js'
import type { UserApi } from './user-api.js'

/** Handles an operator's request from another process. */
export type AdminHandler = (path: string, body: unknown, respond: Respond) => void

/** Handlers behind the public address. */
export interface PublicRoutes {
	heartbeats: HeartbeatRouter
	userApi: UserApi
	/** Returns whether users' requests can be served. */
	isHealthy(): boolean
}

/** Returns the handler of the public address, for users, machines and the load balancer. */
export const publicRequestHandler =
	({ heartbeats, userApi, isHealthy }: PublicRoutes): RequestHandler =>
	(request, respond) => {
		if (request.path === '/checkin') {
			if (request.method !== 'POST') return respond({ status: 405 })
			return heartbeats.handle(request.body, respond)
		}
		if (request.path === '/healthz') {
			if (request.method !== 'GET') return respond({ status: 405 })
			if (!isHealthy()) return respond(UNAVAILABLE)
			return respond({ status: 200, body: { status: 'ok' } })
		}
		userApi.handle(request, respond)
	}

/** Returns the handler of the internal address, for peers and operators. */
export const internalRequestHandler =
	({ membership }: Pick<ControllerContext, 'membership'>, adminHandler: () => AdminHandler | null) =>
	({ method, path, body }: HttpRequest, respond: Respond): void => {
		if (method !== 'POST') {
			respond({ status: 404 })
			return
		}
		const handleAdmin = adminHandler()
		if (path.startsWith('/admin/') && handleAdmin !== null) {
			handleAdmin(path, body, respond)
			return
		}
		const answer = membership.handlePeerRequest(path, body)
		respond(answer === null ? { status: 404 } : { status: 200, body: answer })
	}

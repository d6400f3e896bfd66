/** The health check that the load balancer queries. */
import type { ControllerContext } from './controller-context.js'
import type { Drain } from './drain.js'

/**
 * Returns whether users' requests can be served. A controller that alone cannot reach the state service is unhealthy, so
 * its peers serve the users. If its live peers cannot reach it either, it stays healthy, since leaving the load balancer
 * would only delay the recovery.
 */
export const isHealthy = (context: ControllerContext, drain: Drain): boolean => {
	const { cache, membership } = context
	if (drain.phase !== 'serving' || cache.revision < 0 || context.machineTypes().length === 0) return false
	if (context.isStoreReachable()) return true
	const alivePeers = membership.peers.filter((peer) => membership.isAlive(peer.name))
	return alivePeers.length > 0 && alivePeers.every((peer) => peer.status?.ready === false)
}

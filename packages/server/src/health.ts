/** Health of one controller, as the load balancer asks for it. */
import type { ControllerContext } from './controller-context.js'
import type { Drain } from './drain.js'

/**
 * Tells whether users' requests can be answered. In an outage that every member sees, leaving the balancer would only
 * delay the return; a member that alone cannot reach the state service leaves the users to the others.
 */
export const isHealthy = (context: ControllerContext, drain: Drain): boolean => {
	const { cache, membership } = context
	if (drain.phase !== 'serving' || cache.revision < 0 || context.machineTypes().length === 0) return false
	if (context.isStoreReachable()) return true
	const alivePeers = membership.peers.filter((peer) => membership.isAlive(peer.name))
	return alivePeers.length > 0 && alivePeers.every((peer) => peer.status?.ready === false)
}

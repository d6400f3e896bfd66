/** Fake of the users' load balancer: marks controllers healthy or not as the protocol does, without backoff. */

/** Consecutive failed probes after which a controller is unhealthy. */
const FAILURE_THRESHOLD = 2
/** Consecutive successful probes after which an unhealthy controller is healthy again. */
const SUCCESS_THRESHOLD = 2
/** Minimum time for which a controller stays unhealthy, in ms. */
const MIN_UNHEALTHY_MS = 3000

interface ControllerHealth {
	healthy: boolean
	everHealthy: boolean
	/** consecutive probes that failed or succeeded */
	failures: number
	successes: number
	unhealthyUntilMs: number
}

/** The load balancer's view of the controllers. The caller sends the probes, once a second. */
export class FakeLoadBalancer {
	private readonly controllers: ControllerHealth[]

	constructor(controllers: number) {
		this.controllers = Array.from({ length: controllers }, () => ({
			healthy: false,
			everHealthy: false,
			failures: 0,
			successes: 0,
			unhealthyUntilMs: 0,
		}))
	}

	/** Records the result of a probe. */
	recordProbe(controller: number, succeeded: boolean, nowMs: number): void {
		const health = this.controllers[controller]
		health.failures = succeeded ? 0 : health.failures + 1
		health.successes = succeeded ? health.successes + 1 : 0
		if (health.healthy && health.failures >= FAILURE_THRESHOLD) {
			health.healthy = false
			health.unhealthyUntilMs = nowMs + MIN_UNHEALTHY_MS
			return
		}
		if (health.healthy || !succeeded) return
		const recovered = health.successes >= SUCCESS_THRESHOLD && nowMs >= health.unhealthyUntilMs
		if (health.everHealthy && !recovered) return
		health.healthy = true
		health.everHealthy = true
	}

	/** Indexes of the healthy controllers, which receive the users' requests. */
	healthy(): number[] {
		return this.controllers.flatMap(({ healthy }, index) => (healthy ? [index] : []))
	}
}

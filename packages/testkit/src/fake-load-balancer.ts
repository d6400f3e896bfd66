/** Fake of the users' load balancer: which controllers are healthy, as the protocol has it without growing pauses. */

/** Failed probes in a row after which a controller is unhealthy. */
const FAILURE_THRESHOLD = 2
/** Successful probes in a row after which an unhealthy controller is healthy again. */
const SUCCESS_THRESHOLD = 2
/** For so long an unhealthy controller stays so at the least, in ms. */
const PAUSE_MS = 3000

interface ControllerHealth {
	healthy: boolean
	everHealthy: boolean
	/** probes in a row that failed or succeeded */
	failures: number
	successes: number
	pausedUntilMs: number
}

/** The load balancer's view of the controllers. Whoever owns it makes the probes, once a second. */
export class FakeLoadBalancer {
	private readonly controllers: ControllerHealth[]

	constructor(controllers: number) {
		this.controllers = Array.from({ length: controllers }, () => ({
			healthy: false,
			everHealthy: false,
			failures: 0,
			successes: 0,
			pausedUntilMs: 0,
		}))
	}

	/** A controller was probed. */
	probed(controller: number, succeeded: boolean, nowMs: number): void {
		const health = this.controllers[controller]
		health.failures = succeeded ? 0 : health.failures + 1
		health.successes = succeeded ? health.successes + 1 : 0
		if (health.healthy && health.failures >= FAILURE_THRESHOLD) {
			health.healthy = false
			health.pausedUntilMs = nowMs + PAUSE_MS
			return
		}
		if (health.healthy || !succeeded) return
		const recovered = health.successes >= SUCCESS_THRESHOLD && nowMs >= health.pausedUntilMs
		if (health.everHealthy && !recovered) return
		health.healthy = true
		health.everHealthy = true
	}

	/** Indexes of the controllers that users are sent to. */
	healthy(): number[] {
		return this.controllers.flatMap(({ healthy }, index) => (healthy ? [index] : []))
	}
}

/** How the users' balancer tells healthy controllers from others: as the protocol has it, without the pauses' doubling. */
const FAILURES = 2
const SUCCESSES = 2
const PAUSE_MS = 3000

interface Node {
	healthy: boolean
	everHealthy: boolean
	failed: number
	succeeded: number
	outUntil: number
}

/** Probes are made by the world, once a second; this is what follows from them. */
export class FakeLoadBalancer {
	private readonly nodes: Node[]

	constructor(controllers: number) {
		this.nodes = Array.from({ length: controllers }, () => ({
			healthy: false,
			everHealthy: false,
			failed: 0,
			succeeded: 0,
			outUntil: 0,
		}))
	}

	probed(i: number, ok: boolean, nowMs: number): void {
		const n = this.nodes[i]
		n.failed = ok ? 0 : n.failed + 1
		n.succeeded = ok ? n.succeeded + 1 : 0
		if (n.healthy && n.failed >= FAILURES) {
			n.healthy = false
			n.outUntil = nowMs + PAUSE_MS
		} else if (!n.healthy && ok && (!n.everHealthy || (n.succeeded >= SUCCESSES && nowMs >= n.outUntil))) {
			n.healthy = true
			n.everHealthy = true
		}
	}

	/** Controllers that users are sent to. */
	healthy(): number[] {
		return this.nodes.flatMap((n, i) => (n.healthy ? [i] : []))
	}
}

/** Demo program: runs three controllers and fake services in real time, to try out the CLI over HTTP and gRPC. */
import { defaultGrpcSettings } from '@heathroad/config'
import { startHttpServer } from '@heathroad/server'
import { RealClock } from './clock.js'
import { Simulation } from './simulation.js'

const CONTROLLERS = 3
const FIRST_HTTP_PORT = 8080
const FIRST_GRPC_PORT = 9090
const HTTP_LIMITS = { idleTimeoutMs: 20_000, requestTimeoutMs: 5000, maxSockets: 100 }

const simulation = new Simulation({ seed: 1, untilS: 0, jobs: [], faults: [] }, new RealClock())
simulation.onLogLine = (line) => process.stderr.write(`${line}\n`)

const main = async (): Promise<void> => {
	const { GrpcServer } = await import('@heathroad/grpc')
	for (let controller = 0; controller < CONTROLLERS; controller++) {
		const node = simulation.boot(controller)
		await new GrpcServer(node, defaultGrpcSettings(`127.0.0.1:${FIRST_GRPC_PORT + controller}`)).start()
		await startHttpServer(`127.0.0.1:${FIRST_HTTP_PORT + controller}`, HTTP_LIMITS, (call, respond) => {
			void simulation
				.sendRequest(controller, call.method, call.path, call.body)
				.then((response) => respond(response ?? { status: 503, retryAfterS: 1 }))
		})
	}
}

main().catch((error) => {
	process.stderr.write(`demo: ${(error as Error).message}\n`)
	process.exit(1)
})

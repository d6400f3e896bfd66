import { defaultGrpcSettings } from '@heathroad/config'
import { startHttpServer } from '@heathroad/server'
import { RealClock } from './clock.js'
import { Simulation } from './simulation.js'

/** Three controllers among stand-ins, in real time, for trying out the client verbs, over HTTP and gRPC. */
const simulation = new Simulation({ seed: 1, untilS: 0, jobs: [], faults: [] }, new RealClock())
simulation.tell = (line) => process.stderr.write(`${line}\n`)
const limits = { idleMs: 20_000, requestMs: 5000, sockets: 100 }
const begin = async (): Promise<void> => {
	const { GrpcFace } = await import('@heathroad/grpc')
	for (const i of [0, 1, 2]) {
		const node = simulation.boot(i)
		await new GrpcFace(node, defaultGrpcSettings(`127.0.0.1:${9090 + i}`)).start()
		await startHttpServer(`127.0.0.1:${8080 + i}`, limits, (call, respond) => {
			void simulation
				.sendRequest(i, call.method, call.path, call.body)
				.then((r) => respond(r ?? { status: 503, retryAfterS: 1 }))
		})
	}
}
begin().catch((e) => {
	process.stderr.write(`demo: ${(e as Error).message}\n`)
	process.exit(1)
})

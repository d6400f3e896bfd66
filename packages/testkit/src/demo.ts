import { listen } from '@heathroad/server'
import { RealClock } from './clock.js'
import { World } from './world.js'

/** Three controllers among stand-ins, in real time, for trying out the client verbs. */
const world = new World({ seed: 1, untilS: 0, jobs: [], troubles: [] }, new RealClock())
world.tell = (line) => process.stderr.write(`${line}\n`)
const limits = { idleMs: 20_000, requestMs: 5000, sockets: 100 }
for (const i of [0, 1, 2]) {
	world.boot(i)
	void listen(`127.0.0.1:${8080 + i}`, limits, (call, reply) => {
		void world
			.face(i, call.method, call.path, call.body)
			.then((r) => reply(r ?? { status: 503, retryAfterS: 1 }))
	})
}

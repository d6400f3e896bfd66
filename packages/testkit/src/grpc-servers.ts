/** gRPC servers for the controllers of a simulation that runs in real time. */
import { defaultGrpcSettings } from '@heathroad/config'
import { GrpcServer } from '@heathroad/grpc'
import type { Simulation } from './simulation.js'

/** Runs one server for each running controller, on any free port. */
export class GrpcServers {
	/** the port of each controller; 0 if it does not listen, so that connections to it are refused */
	readonly ports: number[]
	private readonly servers: (GrpcServer | null)[]
	/** Pending starts; a server is stopped only after it has started, as otherwise it would listen forever. */
	private readonly starts = new Map<GrpcServer, Promise<void>>()
	private readonly stops: Promise<void>[] = []

	constructor(simulation: Simulation, controllers: number) {
		this.ports = Array.from({ length: controllers }, () => 0)
		this.servers = this.ports.map(() => null)
		simulation.onStarted = (controller, node) => {
			const settings = { ...defaultGrpcSettings('127.0.0.1:0'), minUpdateIntervalS: 0.1, maxOpensPerS: 200 }
			this.start(controller, new GrpcServer(node, settings))
		}
		simulation.onEnded = (controller) => {
			const server = this.servers[controller]
			if (server !== null) this.stops.push(this.stop(server))
			this.servers[controller] = null
			// The port is free from now on, and any other program may listen on it.
			this.ports[controller] = 0
		}
	}

	/** Returns whether the controller is running. */
	isRunning(controller: number): boolean {
		return this.servers[controller] !== null
	}

	/** Stops all servers. */
	async stopAll(): Promise<void> {
		for (const server of this.servers) if (server !== null) this.stops.push(this.stop(server))
		await Promise.all(this.stops)
	}

	private start(controller: number, server: GrpcServer): void {
		this.servers[controller] = server
		const started = server.start().then((port) => {
			if (this.servers[controller] === server) this.ports[controller] = port
		})
		this.starts.set(server, started)
	}

	private async stop(server: GrpcServer): Promise<void> {
		await this.starts.get(server)
		await server.stop(0)
	}
}

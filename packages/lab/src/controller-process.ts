/** Runs controllers as separate processes, with settings files that make them one installation. */
import { type ChildProcess, spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { type AddressInfo, createServer, type Server } from 'node:net'
import { join } from 'node:path'
import type { WorkerTimes } from '@heathroad/testkit'

/** Node.js flags with which the service runs on a small controller. */
const NODE_FLAGS = ['--max-old-space-size=80', '--max-semi-space-size=2', '--single-threaded-gc']
const KB_PER_MB = 1024

/** A build of the service, and its operators' settings. */
export interface Build {
	/** path of the service's bundle */
	main: string
	/** path of the operators' settings; null: none */
	ini: string | null
}

/** Settings that all controllers of an experiment share. */
export interface Deployment {
	/** directory of the controllers' settings and logs */
	dir: string
	/** port of the fake state service */
	state: number
	/** port of the fake cloud */
	cloud: number
	/** limits of the state service, in requests and in writes a second */
	limits: { rps: number; writeRps: number }
	workers: WorkerTimes
}

/** A controller that runs as a process; it may be restarted. */
export class ControllerProcess {
	/** exit codes or signals of incarnations that were neither drained nor killed */
	readonly unexpectedExits: string[] = []
	/** peak memory of all incarnations so far, in MB */
	peakMb = 0
	private child: ChildProcess | null = null

	/** `settings`: path of the settings file; `log`: path of the file for its log. */
	constructor(
		readonly address: string,
		private readonly build: Build,
		private readonly settings: string,
		private readonly log: string,
	) {}

	/** Whether the process is running. */
	get isRunning(): boolean {
		return this.child !== null
	}

	/** Starts a new incarnation. */
	start(): void {
		const { main, ini } = this.build
		const iniArguments = ini === null ? [] : ['--ini', ini]
		const args = [...NODE_FLAGS, main, 'serve', ...iniArguments, '--config', this.settings]
		const child = spawn(process.execPath, args, { stdio: ['ignore', 'ignore', 'pipe'] })
		this.child = child
		const logChunks: string[] = []
		child.stderr.on('data', (chunk: Buffer) => logChunks.push(chunk.toString()))
		child.on('exit', (code, signal) => {
			if (this.child !== child) return
			this.child = null
			writeFileSync(this.log, logChunks.join(''), { flag: 'a' })
			this.unexpectedExits.push(`${signal ?? code}`)
		})
	}

	/** Returns the process's memory in MB, 0 if it is down, and updates the peak. */
	sample(): number {
		if (this.child?.pid === undefined) return 0
		try {
			const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8')
			this.peakMb = Math.max(this.peakMb, memoryMb(status, 'VmHWM'))
			return memoryMb(status, 'VmRSS')
		} catch {
			return 0
		}
	}

	/** Drains the controller by SIGTERM, as an operator does; calls `ended` when the process has exited. */
	drain(ended: () => void): void {
		const { child } = this
		if (child === null) {
			ended()
			return
		}
		this.sample()
		this.child = null
		child.once('exit', ended)
		child.kill('SIGTERM')
	}

	/** Kills the process without notice. */
	kill(): void {
		this.sample()
		const { child } = this
		this.child = null
		child?.kill('SIGKILL')
	}
}

/** Returns the value of a line of /proc/PID/status in MB. */
const memoryMb = (status: string, name: string): number =>
	Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / KB_PER_MB

const listenOnFreePort = (): Promise<Server> =>
	new Promise((resolve) => {
		const server = createServer()
		server.listen(0, '127.0.0.1', () => resolve(server))
	})

/** Returns TCP ports that are currently free on the loopback interface. */
export const freePorts = async (count: number): Promise<number[]> => {
	const servers = await Promise.all(Array.from({ length: count }, listenOnFreePort))
	const ports = servers.map((server) => (server.address() as AddressInfo).port)
	await Promise.all(servers.map((server) => new Promise((done) => server.close(done))))
	return ports
}

/** Creates the controllers of one installation and writes their settings, without starting them. */
export const createControllers = async (
	count: number,
	build: Build,
	deployment: Deployment,
): Promise<ControllerProcess[]> => {
	const ports = await freePorts(count * 2)
	const names = Array.from({ length: count }, (_, index) => `ctl-${index}`)
	const peerAddress = (index: number) => `127.0.0.1:${ports[count + index]}`
	return names.map((name, index) => {
		const bind = `127.0.0.1:${ports[index]}`
		const settings = {
			host_name: name,
			site: 'a',
			bind,
			internal_addr: peerAddress(index),
			members: names
				.map((host_name, member) => ({ host_name, site: 'a', peer_addr: peerAddress(member) }))
				.filter((member) => member.host_name !== name),
			...sharedSettings(deployment),
		}
		const path = join(deployment.dir, `${name}.json`)
		writeFileSync(path, JSON.stringify(settings))
		return new ControllerProcess(bind, build, path, join(deployment.dir, `${name}.log`))
	})
}

/** Returns the part of the settings that is the same for all controllers. */
const sharedSettings = ({ state, cloud, limits, workers }: Deployment) => ({
	services: { cloud: `127.0.0.1:${cloud}`, state: `127.0.0.1:${state}` },
	deployment: {
		zones: ['a', 'b'],
		teams: [{ name: 'core', cpus: 0, gpus: 0, cpus_max: 0, gpus_max: 0 }],
		workers: { report_s: workers.heartbeatIntervalS, lease_s: workers.leaseS, cancel_s: workers.cancelS },
		state: { rps: limits.rps, write_rps: limits.writeRps, value_kb: 8, txn_ops: 8 },
		cloud: { rps: 4, list_lag_s: 3 },
		resources: { cpu: 0.34, memory_mb: 146, fd_limit: 900 },
	},
})

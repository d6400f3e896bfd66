import { type ChildProcess, spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { type AddressInfo, createServer } from 'node:net'
import { join } from 'node:path'

/** How the service is started on a small controller. */
const FLAGS = ['--max-old-space-size=80', '--max-semi-space-size=2', '--single-threaded-gc']

export const freePorts = async (n: number): Promise<number[]> => {
	const servers = await Promise.all(
		Array.from(
			{ length: n },
			() =>
				new Promise<ReturnType<typeof createServer>>((done) => {
					const s = createServer()
					s.listen(0, '127.0.0.1', () => done(s))
				}),
		),
	)
	const ports = servers.map((s) => (s.address() as AddressInfo).port)
	await Promise.all(servers.map((s) => new Promise((done) => s.close(done))))
	return ports
}

export interface Build {
	/** the bundle */
	main: string
	/** operators' settings; null: none */
	ini: string | null
}

/** A controller as a process of its own. */
export class Controller {
	private child: ChildProcess | null = null
	/** it ended without being told to, and how */
	ends: string[] = []
	/** most memory of any life so far, in MB */
	peakMb = 0

	constructor(
		readonly address: string,
		private readonly build: Build,
		private readonly settings: string,
		private readonly log: string,
	) {}

	start(): void {
		const { main, ini } = this.build
		const args = [...FLAGS, main, 'serve', ...(ini === null ? [] : ['--ini', ini]), '--config', this.settings]
		const child = spawn(process.execPath, args, { stdio: ['ignore', 'ignore', 'pipe'] })
		this.child = child
		const lines: string[] = []
		child.stderr!.on('data', (c: Buffer) => lines.push(c.toString()))
		child.on('exit', (code, signal) => {
			if (this.child !== child) return
			this.child = null
			writeFileSync(this.log, lines.join(''), { flag: 'a' })
			this.ends.push(`${signal ?? code}`)
		})
	}

	/** Its memory now; the most of its life counts. */
	sample(): number {
		if (this.child?.pid === undefined) return 0
		try {
			const text = readFileSync(`/proc/${this.child.pid}/status`, 'utf8')
			const mb = (name: string) => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? 0) / 1024
			this.peakMb = Math.max(this.peakMb, mb('VmHWM'))
			return mb('VmRSS')
		} catch {
			return 0
		}
	}

	get up(): boolean {
		return this.child !== null
	}

	/** Tells it to end, and calls back when it has. */
	drain(ended: () => void): void {
		const child = this.child
		if (child === null) return ended()
		this.sample()
		this.child = null
		child.once('exit', ended)
		child.kill('SIGTERM')
	}

	kill(): void {
		this.sample()
		const child = this.child
		this.child = null
		child?.kill('SIGKILL')
	}
}

export interface Place {
	dir: string
	state: number
	cloud: number
	limits: { rps: number; writeRps: number }
	workers: { reportS: number; leaseS: number; cancelS: number }
}

/** Writes the settings of controllers that know each other, and makes them. */
export const makeControllers = async (n: number, build: Build, place: Place): Promise<Controller[]> => {
	const ports = await freePorts(n * 2)
	const names = Array.from({ length: n }, (_, i) => `ctl-${i}`)
	return names.map((name, i) => {
		const settings = {
			host_name: name,
			site: 'a',
			bind: `127.0.0.1:${ports[i]}`,
			internal_addr: `127.0.0.1:${ports[n + i]}`,
			members: names.flatMap((m, j) =>
				j === i ? [] : [{ host_name: m, site: 'a', peer_addr: `127.0.0.1:${ports[n + j]}` }],
			),
			services: { cloud: `127.0.0.1:${place.cloud}`, state: `127.0.0.1:${place.state}` },
			deployment: {
				zones: ['a', 'b'],
				teams: [{ name: 'core', cpus: 0, gpus: 0, cpus_max: 0, gpus_max: 0 }],
				workers: {
					report_s: place.workers.reportS,
					lease_s: place.workers.leaseS,
					cancel_s: place.workers.cancelS,
				},
				state: { rps: place.limits.rps, write_rps: place.limits.writeRps, value_kb: 8, txn_ops: 8 },
				cloud: { rps: 4, list_lag_s: 3 },
				resources: { cpu: 0.34, memory_mb: 146, fd_limit: 900 },
			},
		}
		const path = join(place.dir, `${name}.json`)
		writeFileSync(path, JSON.stringify(settings))
		return new Controller(`127.0.0.1:${ports[i]}`, build, path, join(place.dir, `${name}.log`))
	})
}

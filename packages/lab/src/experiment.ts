/** Reads experiments of the lab from INI files. */
import { readFileSync } from 'node:fs'
import * as ini from 'ini'
import { PLUGIN_KINDS } from './plugin-directory.js'

/** A fault or another event that affects controllers, the state service or plug-ins. */
export interface LabFault {
	atS: number
	kind: 'kill' | 'drain' | 'outage' | 'upgrade'
	/** indexes of the affected controllers */
	who: number[]
	forS: number
}

/** Parameters of an experiment. */
export interface Experiment {
	name: string
	seed: number
	/** duration in seconds */
	forS: number
	controllers: number
	/** number of machines that boot at the start without having been rented */
	machines: number
	/** number of jobs in the archive before the controllers start */
	history: number
	/** limits of the state service, a second, and its mean latency */
	state: { rps: number; writeRps: number; latencyMs: number }
	load: { jobsPerS: number; tasks: number; runS: number; oldPollsPerS: number }
	/** kinds of plug-ins, each of which checks its own job class, and how long they may hold a job */
	plugins: { kinds: string[]; maxHoldS: number }
	faults: LabFault[]
}

/** An experiment's file cannot be read or is invalid; the message names the file and the key. */
export class InvalidExperiment extends Error {}

/** Valid keys of each section; those of the section `troubles` match `FAULT_KEY`. */
const KNOWN_KEYS: Record<string, readonly string[]> = {
	lab: ['name', 'seed', 'for_s', 'controllers', 'machines', 'history'],
	state: ['rps', 'write_rps', 'latency_ms'],
	load: ['jobs_per_s', 'tasks', 'run_s', 'old_polls_per_s'],
	plugins: ['kinds', 'hold_at_most_s'],
}
const FAULT_KEY = /^at\.[\d.]+$/

type Sections = Record<string, Record<string, unknown>>

/** Parses one experiment; every error names the file, the section and the key. */
class ExperimentParser {
	constructor(
		private readonly path: string,
		private readonly sections: Sections,
	) {}

	parse(): Experiment {
		this.checkKeys()
		const controllers = this.number('lab', 'controllers', 3)
		const faults = Object.entries(this.sections.troubles ?? {}).map(([key, line]) =>
			this.fault(key, String(line), controllers),
		)
		const kinds = this.pluginKinds()
		return {
			name: String(this.sections.lab?.name ?? 'experiment'),
			seed: this.number('lab', 'seed', 1),
			forS: this.number('lab', 'for_s', 60),
			controllers,
			machines: this.number('lab', 'machines', 20),
			history: this.number('lab', 'history', 0),
			state: {
				rps: this.number('state', 'rps', 90),
				writeRps: this.number('state', 'write_rps', 15),
				latencyMs: this.number('state', 'latency_ms', 5),
			},
			load: {
				jobsPerS: this.number('load', 'jobs_per_s', 2),
				tasks: this.number('load', 'tasks', 4),
				runS: this.number('load', 'run_s', 5),
				oldPollsPerS: this.number('load', 'old_polls_per_s', 0),
			},
			plugins: { kinds, maxHoldS: this.number('plugins', 'hold_at_most_s', 8) },
			faults,
		}
	}

	private error(problem: string): InvalidExperiment {
		return new InvalidExperiment(`${this.path}: ${problem}`)
	}

	private checkKeys(): void {
		for (const [section, entries] of Object.entries(this.sections))
			for (const key of Object.keys(entries)) {
				const known =
					section === 'troubles' ? FAULT_KEY.test(key) : KNOWN_KEYS[section]?.includes(key) === true
				if (!known) throw this.error(`${section}.${key}: no such key`)
			}
	}

	private number(section: string, key: string, defaultValue: number): number {
		const raw = this.sections[section]?.[key]
		const value = raw === undefined ? defaultValue : Number(raw)
		if (!(value >= 0)) throw this.error(`${section}.${key}: must be a number of 0 or more`)
		return value
	}

	private fault(key: string, line: string, controllers: number): LabFault {
		const at = key.slice('at.'.length)
		const [kind, ...rest] = line.split(' ')
		const atS = Number(at)
		if (kind === 'kill' || kind === 'drain') {
			const who = (rest[0] ?? '').split(',').map(Number)
			const forS = Number(rest[1])
			const exist = who.every((index) => index >= 0 && index < controllers)
			if (atS >= 0 && forS > 0 && exist) return { atS, kind, who, forS }
		} else if (kind === 'outage' || kind === 'upgrade') {
			const forS = Number(rest[0])
			if (atS >= 0 && forS > 0) return { atS, kind, who: [], forS }
		}
		throw this.error(
			`troubles.at.${at}: is not "kill 0,1 SECONDS", "drain 0 SECONDS", "outage SECONDS" or "upgrade SECONDS"`,
		)
	}

	private pluginKinds(): string[] {
		const kinds = String(this.sections.plugins?.kinds ?? '')
			.split(',')
			.map((kind) => kind.trim())
			.filter((kind) => kind !== '')
		const unknown = kinds.find((kind) => !PLUGIN_KINDS.includes(kind))
		if (unknown !== undefined)
			throw this.error(`plugins.kinds: ${unknown} is none of ${PLUGIN_KINDS.join(', ')}`)
		return kinds
	}
}

/**
 * Reads an experiment. Faults are lines of the section `troubles`:
 * - `at.30 = kill 0,1 2`: at 30 s controllers 0 and 1 are killed; they start again after 2 s
 * - `at.40 = drain 0 2`: at 40 s controller 0 is drained; it starts again 2 s after its process exits
 * - `at.60 = outage 10`: from 60 s on the state service is down for 10 s
 * - `at.70 = upgrade 30`: from 70 s on a new version of the plug-ins is installed every second for 30 s
 * @throws InvalidExperiment
 */
export const readExperiment = (path: string): Experiment => {
	let text: string
	try {
		text = readFileSync(path, 'utf8')
	} catch {
		throw new InvalidExperiment(`${path}: cannot be read`)
	}
	return new ExperimentParser(path, ini.parse(text) as Sections).parse()
}

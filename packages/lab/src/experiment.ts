import { readFileSync } from 'node:fs'
import * as ini from 'ini'
import { PLUGIN_KINDS } from './plugins.js'

/** Something that happens to the lab's controllers or services. */
export interface LabFault {
	atS: number
	kind: 'kill' | 'drain' | 'outage' | 'upgrade'
	/** controllers, by number */
	who: number[]
	forS: number
}

export interface Experiment {
	name: string
	seed: number
	forS: number
	controllers: number
	/** machines that are up before */
	machines: number
	/** finished jobs before */
	history: number
	state: { rps: number; writeRps: number; latencyMs: number }
	load: { jobsPerS: number; tasks: number; runS: number; oldPollsPerS: number }
	/** stand-in plug-ins, each for a class of jobs of its own, and how long they may hold one */
	plugins: { kinds: string[]; holdAtMostS: number }
	troubles: LabFault[]
}

export class BadExperiment extends Error {}

/**
 * Reads an experiment. Troubles are lines such as `at.30 = kill 0,1 2`: at 30 s controllers 0 and 1 are killed and come
 * back after 2 s; `drain 0 2`: it is told to end, and comes back 2 s after it has; `at.60 = outage 10`: the state answers
 * nothing for 10 s; `at.70 = upgrade 30`: the plug-ins have a new version every second for 30 s. Throws `BadExperiment`.
 */
export const readExperiment = (path: string): Experiment => {
	let text: string
	try {
		text = readFileSync(path, 'utf8')
	} catch {
		throw new BadExperiment(`${path}: cannot be read`)
	}
	const file = ini.parse(text) as Record<string, Record<string, unknown>>
	const known: Record<string, string[]> = {
		lab: ['name', 'seed', 'for_s', 'controllers', 'machines', 'history'],
		state: ['rps', 'write_rps', 'latency_ms'],
		load: ['jobs_per_s', 'tasks', 'run_s', 'old_polls_per_s'],
		plugins: ['kinds', 'hold_at_most_s'],
	}
	for (const [section, keys] of Object.entries(file))
		for (const key of Object.keys(keys))
			if (!(section === 'troubles' ? /^at\.[\d.]+$/.test(key) : known[section]?.includes(key)))
				throw new BadExperiment(`${path}: ${section}.${key}: no such key`)
	const number = (section: string, key: string, otherwise: number): number => {
		const raw = file[section]?.[key]
		const value = raw === undefined ? otherwise : Number(raw)
		if (!(value >= 0)) throw new BadExperiment(`${path}: ${section}.${key}: must be a number of 0 or more`)
		return value
	}
	const controllers = number('lab', 'controllers', 3)
	const troubles = Object.entries(file.troubles ?? {}).map(([key, line]): LabFault => {
		const at = key.slice('at.'.length)
		const [kind, ...rest] = String(line).split(' ')
		const named = kind === 'kill' || kind === 'drain'
		const who = named ? (rest[0] ?? '').split(',').map(Number) : []
		const forS = Number(rest[named ? 1 : 0])
		const fits =
			Number(at) >= 0 &&
			forS > 0 &&
			(kind === 'outage' || kind === 'upgrade' || (named && who.every((w) => w >= 0 && w < controllers)))
		if (!fits)
			throw new BadExperiment(
				`${path}: troubles.at.${at}: is not "kill 0,1 SECONDS", "drain 0 SECONDS", "outage SECONDS" or "upgrade SECONDS"`,
			)
		return { atS: Number(at), kind: kind as LabFault['kind'], who, forS }
	})
	const kinds = String(file.plugins?.kinds ?? '')
		.split(',')
		.map((k) => k.trim())
		.filter((k) => k !== '')
	const strange = kinds.find((k) => !PLUGIN_KINDS.includes(k))
	if (strange !== undefined)
		throw new BadExperiment(`${path}: plugins.kinds: ${strange} is none of ${PLUGIN_KINDS.join(', ')}`)
	return {
		name: String(file.lab?.name ?? 'experiment'),
		seed: number('lab', 'seed', 1),
		forS: number('lab', 'for_s', 60),
		controllers,
		machines: number('lab', 'machines', 20),
		history: number('lab', 'history', 0),
		state: {
			rps: number('state', 'rps', 90),
			writeRps: number('state', 'write_rps', 15),
			latencyMs: number('state', 'latency_ms', 5),
		},
		load: {
			jobsPerS: number('load', 'jobs_per_s', 2),
			tasks: number('load', 'tasks', 4),
			runS: number('load', 'run_s', 5),
			oldPollsPerS: number('load', 'old_polls_per_s', 0),
		},
		plugins: { kinds, holdAtMostS: number('plugins', 'hold_at_most_s', 8) },
		troubles,
	}
}

/**
 * The check of streams (`testkit/stream-checks.ts`) as days in virtual time: the same jobs, faults and readers, without
 * sockets, so that a seed always gives the same order of events.
 */
import type { JobEvent, Selection } from '@heathroad/client'
import { arrayJob, type Fault, Simulation, VirtualClock } from '@heathroad/testkit'
import { linksTo, playWithClients, type ReaderLink, watcherOver } from './simulated-watch.js'

const CONTROLLERS = 3
const MACHINES = 12
export const JOBS = 30
const SUBMIT_INTERVAL_MS = 25
/** Every ninth job is cancelled, so long after its submission. */
const CANCEL_EVERY = 9
const CANCEL_AFTER_MS = 100
/** When the first job, which tells that the readers of the team have begun, and the others are submitted, in ms. */
const SUBMIT_FROM_MS = { first: 1600, others: 2500 }
/** When readers begin, in ms; the late ones while most jobs are over. */
const READ_FROM_MS = { early: 1500, late: [3500, 6000, 12_000] }
/** Mean pause between faults in ms, and until when there are some. */
const FAULTS = { everyMs: 250, fromMs: 2600, untilMs: 70_000 }
/** Faults are drawn from 0 to 1: below the first limit a cut, below the second lost answers, above it a crash. */
const FAULT_LIMITS = { cut: 0.5, loss: 0.75 }
const LOSS_MS = 250
const MIN_RESTART_S = 0.4
const UNTIL_S = 75
const LAST_SUBMISSION_MS = SUBMIT_FROM_MS.others + (JOBS - 1) * SUBMIT_INTERVAL_MS
/** Jobs of days with different seeds have ids this far apart. */
const IDS_PER_SEED = 100
const FIRST_JOB = 700_000
const FIRST_SENTINEL = 600_000
/** Every job has to be over so long after the last submission, in ms: what the check of streams allows. */
export const MAX_MS = 60_000

/** What a reader was told. */
export class DayReader {
	readonly terminal = new Map<string, string>()
	readonly wrong: string[] = []
	/** when the last terminal event arrived, in ms of the day */
	lastEventAtMs = 0
	private readonly done = new Map<string, number>()

	constructor(
		readonly name: string,
		private readonly uids: readonly string[],
	) {}

	observe({ uid, state, done, afterGap }: JobEvent, atMs: number): void {
		const terminal = this.terminal.get(uid)
		if (terminal !== undefined) this.wrong.push(`${this.name}: ${uid} ${state} after ${terminal}`)
		const doneBefore = this.done.get(uid) ?? 0
		if (done < doneBefore) this.wrong.push(`${this.name}: ${uid} went back from ${doneBefore} to ${done}`)
		this.done.set(uid, done)
		if (afterGap) this.wrong.push(`${this.name}: a gap`)
		if (state !== 'done' && state !== 'cancelled') return
		this.terminal.set(uid, state)
		this.lastEventAtMs = atMs
	}

	missing(): string[] {
		return this.uids.filter((uid) => !this.terminal.has(uid))
	}

	/** Findings of the events that it missed; jobs that are not over have none. */
	missedEvents(unfinished: ReadonlySet<string>): string[] {
		return this.missing()
			.filter((uid) => !unfinished.has(uid))
			.map((uid) => `${this.name}: no terminal event of ${uid}`)
	}
}

/** A day that was played. */
export interface StreamCheckDay {
	simulation: Simulation
	readers: readonly DayReader[]
	/** events that readers missed, and everything else that was wrong */
	findings: string[]
	/** from the last submission until the last reader had every terminal event, in ms */
	tookMs: number
	log: readonly string[]
}

const jobsOf = (uids: readonly string[], first: string) => [
	{
		atS: SUBMIT_FROM_MS.first / 1000,
		spec: arrayJob(first, { tasks: 1, cpus: 0.5, expectedS: 0.3, spot: false }),
	},
	...uids.map((uid, index) => {
		const atMs = SUBMIT_FROM_MS.others + index * SUBMIT_INTERVAL_MS
		const isCancelled = index % CANCEL_EVERY === CANCEL_EVERY - 1
		return {
			atS: atMs / 1000,
			spec: arrayJob(uid, {
				tasks: 1 + (index % 3),
				cpus: 0.5,
				expectedS: 0.3,
				imageGb: 0.05,
				spot: false,
			}),
			...(isCancelled ? { cancelAtS: (atMs + CANCEL_AFTER_MS) / 1000 } : {}),
		}
	}),
]

interface LinkFault {
	atMs: number
	kind: 'cut' | 'loss'
	controller: number
}

/** All faults follow from the seed alone, not from what happens on the day. */
const faultsOf = (seed: number): { crashes: Fault[]; linkFaults: LinkFault[] } => {
	const generator = new VirtualClock(seed)
	const crashes: Fault[] = []
	const linkFaults: LinkFault[] = []
	for (let atMs = FAULTS.fromMs; atMs < FAULTS.untilMs; atMs += FAULTS.everyMs * (0.5 + generator.random())) {
		const controller = Math.floor(generator.random() * CONTROLLERS)
		const kind = generator.random()
		if (kind < FAULT_LIMITS.cut) linkFaults.push({ atMs, kind: 'cut', controller })
		else if (kind < FAULT_LIMITS.loss) linkFaults.push({ atMs, kind: 'loss', controller })
		else
			crashes.push({
				atS: atMs / 1000,
				kind: 'crash',
				who: [controller],
				forS: MIN_RESTART_S + generator.random(),
			})
	}
	return { crashes, linkFaults }
}

const injectLinkFault = (simulation: Simulation, links: readonly ReaderLink[], fault: LinkFault): void => {
	const link = links[fault.controller]
	simulation.clock.after(
		fault.atMs,
		() => {
			if (fault.kind === 'cut') {
				link.cutAll()
				return
			}
			link.losesAnswers = true
			simulation.clock.after(LOSS_MS, () => {
				link.losesAnswers = false
			})
		},
		null,
	)
}

const simulationOf = (seed: number, uids: readonly string[], crashes: readonly Fault[]): Simulation =>
	new Simulation({
		seed,
		untilS: UNTIL_S,
		jobs: jobsOf(uids, `job-${FIRST_SENTINEL + seed}`),
		faults: crashes,
		report: { reportS: 0.5, leaseS: 6, cancelS: 14 },
		up: MACHINES,
		capacity: 0,
	})

/** The readers of a day: by ids, by team, and by ids from a cursor that the caller kept. */
class DayReaders {
	readonly readers: DayReader[] = []
	/** watches that failed */
	readonly errors: string[] = []

	constructor(
		private readonly simulation: Simulation,
		private readonly links: readonly ReaderLink[],
		private readonly uids: readonly string[],
	) {}

	/** Schedules the beginning of all readers. */
	schedule(): void {
		const { clock } = this.simulation
		const { uids } = this
		clock.after(READ_FROM_MS.early, () => this.beginEarly(), null)
		for (const atMs of READ_FROM_MS.late)
			clock.after(atMs, () => this.begin(`by ids, from ${atMs} ms`, { uids }), null)
	}

	private beginEarly(): void {
		const { uids } = this
		this.begin('by ids, before', { uids })
		this.begin('by team', { team: 'core' })
		const name = 'by ids, from a cursor'
		this.follow(name, this.readFromCursor(this.addReader(name)))
	}

	private begin(name: string, selection: Selection): void {
		this.follow(name, this.read(this.addReader(name), selection, ''))
	}

	private addReader(name: string): DayReader {
		const reader = new DayReader(name, this.uids)
		this.readers.push(reader)
		return reader
	}

	private follow(name: string, watch: Promise<void>): void {
		watch.catch((error) => this.errors.push(`${name}: ${error}`))
	}

	private async read(reader: DayReader, selection: Selection, cursor: string): Promise<void> {
		const { simulation, links } = this
		for await (const event of watcherOver(simulation, links).watch(selection, { cursor })) {
			reader.observe(event, simulation.clock.nowMs)
			if (reader.missing().length === 0) return
		}
	}

	/** A caller that keeps the cursor of its first event, and begins another watch there. */
	private async readFromCursor(reader: DayReader): Promise<void> {
		const { simulation, links, uids } = this
		for await (const event of watcherOver(simulation, links).watch({ uids }, {})) {
			reader.observe(event, simulation.clock.nowMs)
			await this.read(reader, { uids }, event.cursor)
			return
		}
	}
}

/** Plays the day of a seed. */
export const playStreamCheckDay = async (seed: number): Promise<StreamCheckDay> => {
	const uids = Array.from({ length: JOBS }, (_, index) => `job-${FIRST_JOB + seed * IDS_PER_SEED + index}`)
	const { crashes, linkFaults } = faultsOf(seed)
	const simulation = simulationOf(seed, uids, crashes)
	const log: string[] = []
	simulation.onLogLine = (line) => log.push(line)
	const links = linksTo(simulation, CONTROLLERS)
	const dayReaders = new DayReaders(simulation, links, uids)
	await playWithClients(simulation, () => {
		for (const fault of linkFaults) injectLinkFault(simulation, links, fault)
		dayReaders.schedule()
	})
	const { readers, errors } = dayReaders
	const { violations } = simulation.invariants
	const unfinished = new Set(simulation.invariants.unfinishedJobs())
	const missing = readers.flatMap((reader) => reader.missedEvents(unfinished))
	const wrong = readers.flatMap((reader) => reader.wrong)
	const lastEventAtMs = Math.max(...readers.map((reader) => reader.lastEventAtMs))
	return {
		simulation,
		readers,
		findings: [...violations, ...errors, ...missing, ...wrong],
		tookMs: lastEventAtMs - LAST_SUBMISSION_MS,
		log,
	}
}

/**
 * The check of streams (`testkit/stream-checks.ts`) as simulated days in virtual time: the same jobs, faults and
 * readers, without sockets, so that a seed always gives the same sequence of events.
 */
import type { JobEvent, Selection } from '@heathroad/client'
import { arrayJob, type Fault, Simulation, VirtualClock } from '@heathroad/testkit'
import { createReaderLinks, createWatcher, type ReaderLink, runWithClients } from './simulated-watch.js'

const CONTROLLERS = 3
const MACHINES = 12
export const JOBS = 30
const SUBMIT_INTERVAL_MS = 25
/** Every ninth job is cancelled. */
const CANCEL_EVERY = 9
/** Time from the submission of a job to its cancellation. */
const CANCEL_AFTER_MS = 100
/** When jobs are submitted, in ms; the sentinel shows that the reader by team has started. */
const SUBMIT_FROM_MS = { sentinel: 1600, others: 2500 }
/** When readers start, in ms; the late ones when most jobs have finished. */
const READ_FROM_MS = { early: 1500, late: [3500, 6000, 12_000] }
/** Mean interval between faults, and when they start and stop, in ms. */
const FAULTS = { everyMs: 250, fromMs: 2600, untilMs: 70_000 }
/** Upper limits of a random number in [0, 1) that selects the kind of a fault; above both it is a crash. */
const FAULT_LIMITS = { disconnect: 0.5, responseLoss: 0.75 }
const RESPONSE_LOSS_MS = 250
const MIN_RESTART_S = 0.4
const UNTIL_S = 75
const LAST_SUBMISSION_MS = SUBMIT_FROM_MS.others + (JOBS - 1) * SUBMIT_INTERVAL_MS
/** Distance between the job ids of consecutive seeds. */
const IDS_PER_SEED = 100
const FIRST_JOB = 700_000
const FIRST_SENTINEL_JOB = 600_000
/** Limit for all jobs to finish after the last submission, in ms, as in the check of streams. */
export const MAX_COMPLETION_MS = 60_000

/** Records the events of one reader. */
export class DayReader {
	readonly terminalStates = new Map<string, string>()
	readonly anomalies: string[] = []
	/** when the last terminal event arrived, in ms of virtual time */
	lastEventAtMs = 0
	private readonly doneCounts = new Map<string, number>()

	constructor(
		readonly name: string,
		private readonly uids: readonly string[],
	) {}

	observe({ uid, state, done, afterGap }: JobEvent, atMs: number): void {
		const terminal = this.terminalStates.get(uid)
		if (terminal !== undefined) this.anomalies.push(`${this.name}: ${uid} ${state} after ${terminal}`)
		const previousDone = this.doneCounts.get(uid) ?? 0
		if (done < previousDone)
			this.anomalies.push(`${this.name}: ${uid} went back from ${previousDone} to ${done}`)
		this.doneCounts.set(uid, done)
		if (afterGap) this.anomalies.push(`${this.name}: a gap`)
		if (state !== 'done' && state !== 'cancelled') return
		this.terminalStates.set(uid, state)
		this.lastEventAtMs = atMs
	}

	missingJobs(): string[] {
		return this.uids.filter((uid) => !this.terminalStates.has(uid))
	}

	/** Findings for missed events; jobs that have not finished have none. */
	missedEvents(unfinished: ReadonlySet<string>): string[] {
		return this.missingJobs()
			.filter((uid) => !unfinished.has(uid))
			.map((uid) => `${this.name}: no terminal event of ${uid}`)
	}
}

/** The result of a simulated day. */
export interface StreamCheckDay {
	simulation: Simulation
	readers: readonly DayReader[]
	/** missed events, invariant violations, failed watches and other anomalies */
	findings: string[]
	/** time from the last submission to the last terminal event that any reader received, in ms */
	completedAfterMs: number
	log: readonly string[]
}

const submissionsOf = (uids: readonly string[], sentinel: string) => [
	{
		atS: SUBMIT_FROM_MS.sentinel / 1000,
		spec: arrayJob(sentinel, { tasks: 1, cpus: 0.5, expectedS: 0.3, spot: false }),
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
	kind: 'disconnect' | 'responseLoss'
	controller: number
}

/** The faults of a seed; they depend on nothing else. */
const faultsOf = (seed: number): { crashes: Fault[]; linkFaults: LinkFault[] } => {
	const generator = new VirtualClock(seed)
	const crashes: Fault[] = []
	const linkFaults: LinkFault[] = []
	for (let atMs = FAULTS.fromMs; atMs < FAULTS.untilMs; atMs += FAULTS.everyMs * (0.5 + generator.random())) {
		const controller = Math.floor(generator.random() * CONTROLLERS)
		const drawn = generator.random()
		if (drawn < FAULT_LIMITS.disconnect) linkFaults.push({ atMs, kind: 'disconnect', controller })
		else if (drawn < FAULT_LIMITS.responseLoss) linkFaults.push({ atMs, kind: 'responseLoss', controller })
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
			if (fault.kind === 'disconnect') {
				link.breakConnections()
				return
			}
			link.losesResponses = true
			simulation.clock.after(RESPONSE_LOSS_MS, () => {
				link.losesResponses = false
			})
		},
		null,
	)
}

const createSimulation = (seed: number, uids: readonly string[], crashes: readonly Fault[]): Simulation =>
	new Simulation({
		seed,
		untilS: UNTIL_S,
		jobs: submissionsOf(uids, `job-${FIRST_SENTINEL_JOB + seed}`),
		faults: crashes,
		workerTimes: { heartbeatIntervalS: 0.5, leaseS: 6, cancelS: 14 },
		up: MACHINES,
		capacity: 0,
	})

/** The readers of a day: by ids, by team, and by ids from a cursor that the caller saved. */
class DayReaders {
	readonly readers: DayReader[] = []
	/** watches that failed */
	readonly errors: string[] = []

	constructor(
		private readonly simulation: Simulation,
		private readonly links: readonly ReaderLink[],
		private readonly uids: readonly string[],
	) {}

	/** Schedules the start of all readers. */
	schedule(): void {
		const { clock } = this.simulation
		const { uids } = this
		clock.after(READ_FROM_MS.early, () => this.startEarlyReaders(), null)
		for (const atMs of READ_FROM_MS.late)
			clock.after(atMs, () => this.startReader(`by ids, from ${atMs} ms`, { uids }), null)
	}

	private startEarlyReaders(): void {
		const { uids } = this
		this.startReader('by ids, before', { uids })
		this.startReader('by team', { team: 'core' })
		const name = 'by ids, from a cursor'
		this.collectError(name, this.readFromCursor(this.addReader(name)))
	}

	private startReader(name: string, selection: Selection): void {
		this.collectError(name, this.read(this.addReader(name), selection, ''))
	}

	private addReader(name: string): DayReader {
		const reader = new DayReader(name, this.uids)
		this.readers.push(reader)
		return reader
	}

	private collectError(name: string, watch: Promise<void>): void {
		watch.catch((error) => this.errors.push(`${name}: ${error}`))
	}

	private async read(reader: DayReader, selection: Selection, cursor: string): Promise<void> {
		const { simulation, links } = this
		for await (const event of createWatcher(simulation, links).watch(selection, { cursor })) {
			reader.observe(event, simulation.clock.nowMs)
			if (reader.missingJobs().length === 0) return
		}
	}

	/** Reads as a caller that saves the cursor of its first event and starts another watch there. */
	private async readFromCursor(reader: DayReader): Promise<void> {
		const { simulation, links, uids } = this
		for await (const event of createWatcher(simulation, links).watch({ uids }, {})) {
			reader.observe(event, simulation.clock.nowMs)
			await this.read(reader, { uids }, event.cursor)
			return
		}
	}
}

/** Runs the day of a seed. */
export const runStreamCheckDay = async (seed: number): Promise<StreamCheckDay> => {
	const uids = Array.from({ length: JOBS }, (_, index) => `job-${FIRST_JOB + seed * IDS_PER_SEED + index}`)
	const { crashes, linkFaults } = faultsOf(seed)
	const simulation = createSimulation(seed, uids, crashes)
	const log: string[] = []
	simulation.onLogLine = (line) => log.push(line)
	const links = createReaderLinks(simulation, CONTROLLERS)
	const dayReaders = new DayReaders(simulation, links, uids)
	await runWithClients(simulation, () => {
		for (const fault of linkFaults) injectLinkFault(simulation, links, fault)
		dayReaders.schedule()
	})
	const { readers, errors } = dayReaders
	const { violations } = simulation.invariants
	const unfinished = new Set(simulation.invariants.unfinishedJobs())
	const missedEventFindings = readers.flatMap((reader) => reader.missedEvents(unfinished))
	const anomalies = readers.flatMap((reader) => reader.anomalies)
	const lastEventAtMs = Math.max(...readers.map((reader) => reader.lastEventAtMs))
	return {
		simulation,
		readers,
		findings: [...violations, ...errors, ...missedEventFindings, ...anomalies],
		completedAfterMs: lastEventAtMs - LAST_SUBMISSION_MS,
		log,
	}
}

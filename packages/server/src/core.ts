import type { Cancellations, Fleets, JobBook, JobRecord, Membership } from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import type { CapacityBook, Checks, Part } from '@heathroad/controller'
import type { Found, Past } from '@heathroad/history'
import type { Mirror, Writer } from '@heathroad/store'
import type { MachineType } from '@heathroad/wire'
import type { Effect } from 'effect'
import type { Parting } from './parting.js'

/** What takes longer is given up: users wait 2 s for an answer to a question (protocol). */
export const ANSWER_MS = 1700

export type LogLevel = 'error' | 'info' | 'debug'
export type Log = (level: LogLevel, event: string, fields?: Record<string, unknown>) => void

/** Jobs that are over and in memory no longer. */
export interface Archive {
	/** A final state that takes no read; the id must be of the right form. */
	known(uid: string): Past | undefined
	/** A final state where no record in memory names the job. */
	find(uid: string): Effect.Effect<Found>
	/** Needs an acceptance no proof that its job was not archived, or is there one without a read? */
	proves(uid: string): boolean
	/** epoch of the latest turn; 0: nothing is archived */
	turn(): number
}

/** What the faces of one controller use of it. */
export interface Core {
	readonly config: Config
	readonly log: Log
	readonly now: () => number
	readonly mirror: Mirror
	readonly writer: Writer
	readonly members: Membership
	readonly jobs: JobBook
	/** what the records tell of cancellations */
	readonly cancellations: Cancellations
	readonly fleets: Fleets
	readonly capacity: CapacityBook
	readonly history: Archive
	readonly parting: Parting
	/** the operators' own checks; none unless settings ask for them */
	readonly checks: Checks
	catalog(): readonly MachineType[]
	/** the parts that this controller owns */
	part(k: number): Part | undefined
	ownerName(k: number): string | undefined
	/** jobs that fail wherever they are tried */
	suspects(): Set<string>
	/** parts most of whose machines are out of their owners' reach */
	stranded(): Set<number>
	/** do checks still hold the job back, so that it weighs nothing? */
	heldBack(uid: string, record: JobRecord): boolean
	/** does this controller still take new jobs? not while it hands its parts over */
	readonly takesJobs: boolean
	/** has the state answered lately? */
	stateOk(): boolean
	/** True once everything durable before the call is in the mirror; false if that takes too long. */
	fresh(): Effect.Effect<boolean>
	/** Calls back once the mirror holds everything up to an epoch; false: not within the time that users wait. */
	whenSeen(epoch: number, done: (ok: boolean) => void): void
	/** Brings the mirror up to date, then calls back; without an answer after a pause. */
	refresh(done: () => void): void
}

/** Told of what changes in the records, in the order in which it becomes known here. */
export interface Watcher {
	/** a job's records, those of its progress included */
	jobChanged(uid: string): void
	/** a part has another owner, or none */
	partChanged(part: number): void
	/** every change up to a later epoch is known */
	advanced(): void
}

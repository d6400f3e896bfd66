/** Checks the controllers' records outside the archive. */

import {
	decodeAcceptedBatch,
	decodeHistoryRecord,
	decodeJobRecord,
	decodeMachineGroup,
	decodeReleasePage,
	decodeShardOwner,
	decodeTerminalPage,
	RECORD_FORMAT,
	terminalDoneCount,
} from '@heathroad/cluster'
import { KEY_PREFIX } from '@heathroad/store'
import type { KeyValue } from '@heathroad/wire'
import type { Report } from './finding.js'
import type { JobOccurrences } from './job-occurrences.js'

const MALFORMED_RECORD = 'does not parse'

/** Checks each record, and finally what depends on several of them. */
export class RecordChecker {
	/** last key that contains each open job, by job id */
	private readonly openJobs = new Map<string, string>()
	/** ids of jobs with a terminal state outside the archive */
	private readonly terminalJobs = new Set<string>()
	/** key of the machine group of each machine, by machine id */
	private readonly groupOfMachine = new Map<string, string>()
	/** keys of progress records of open jobs */
	private readonly progressKeys: string[] = []

	constructor(
		private readonly shardCount: number,
		private readonly jobOccurrences: JobOccurrences,
		private readonly report: Report,
	) {}

	/** Keys of machine groups by the id of each machine that they contain. */
	get machines(): ReadonlyMap<string, string> {
		return this.groupOfMachine
	}

	/** Checks one record. */
	check({ key, data }: KeyValue): void {
		const name = key.slice(KEY_PREFIX.length)
		const [kind, id] = name.split('/')
		switch (kind) {
			case 'part':
			case 'last':
				this.checkShardRecord(key, id, decodeShardOwner(data) !== null)
				return
			case 'released':
				this.checkShardRecord(key, id, decodeReleasePage(data) !== null)
				return
			case 'fleet':
				this.checkMachineGroup(key, data)
				return
			case 'intake':
				this.checkAcceptedBatch(key, data)
				return
			case 'job':
				this.checkJobRecord(key, id, data)
				return
			case 'done':
				this.checkProgress(key, data)
				return
			case 'over':
				this.checkTerminalPage(key, Number(id), data)
				return
		}
		if (name === 'history') this.checkHistoryRecord(key, data)
		else if (name !== 'catalog' && name !== 'installation') this.report(key, 'is of no kind that is known')
	}

	/** Checks what depends on several records, after all of them were read; open jobs may be in the archive too. */
	finish(): void {
		for (const key of this.progressKeys) {
			const uid = key.slice(`${KEY_PREFIX}done/`.length).split('/')[0]
			if (!this.openJobs.has(uid)) this.report(key, 'is progress of a job that is over or unknown')
		}
		// The other records of a job on a terminal page are removed later, so it does not count as open.
		for (const [uid, key] of this.openJobs)
			if (!this.terminalJobs.has(uid)) this.jobOccurrences.add(uid, { kind: 'open', key })
	}

	private isShard(shardId: number): boolean {
		return shardId < this.shardCount
	}

	/** Checks a record of one shard, whose id is part of the key. */
	private checkShardRecord(key: string, shardId: string, wellFormed: boolean): void {
		if (!wellFormed) this.report(key, MALFORMED_RECORD)
		else if (!this.isShard(Number(shardId))) this.report(key, `there are ${this.shardCount} parts`)
	}

	private checkHistoryRecord(key: string, data: unknown): void {
		const record = decodeHistoryRecord(data)
		if (record === null) this.report(key, MALFORMED_RECORD)
		else if (record.format > RECORD_FORMAT)
			this.report(key, `is of form ${record.format}; this program knows ${RECORD_FORMAT}`)
	}

	private checkProgress(key: string, data: unknown): void {
		this.progressKeys.push(key)
		if (!Array.isArray(data)) this.report(key, MALFORMED_RECORD)
	}

	private checkMachineGroup(key: string, data: unknown): void {
		const group = decodeMachineGroup(data)
		if (group === null) {
			this.report(key, MALFORMED_RECORD)
			return
		}
		if (!(group.shardId >= 0 && this.isShard(group.shardId)))
			this.report(key, `is of part ${group.shardId}; there are ${this.shardCount}`)
		for (const machineId of Object.keys(group.addresses)) {
			const otherGroup = this.groupOfMachine.get(machineId)
			if (otherGroup !== undefined)
				this.report(key, `holds machine ${machineId}, which ${otherGroup} holds too`)
			this.groupOfMachine.set(machineId, key)
		}
	}

	private checkAcceptedBatch(key: string, data: unknown): void {
		const jobs = decodeAcceptedBatch(data)
		if (jobs === null) {
			this.report(key, MALFORMED_RECORD)
			return
		}
		for (const { spec, shardId } of jobs) {
			this.openJobs.set(spec.uid, key)
			if (!this.isShard(shardId))
				this.report(key, `${spec.uid} is of part ${shardId}; there are ${this.shardCount}`)
		}
	}

	private checkJobRecord(key: string, uid: string, data: unknown): void {
		const record = decodeJobRecord(data)
		if (record === null) {
			this.report(key, MALFORMED_RECORD)
			return
		}
		if (record.finalState === undefined) {
			if (record.spec === undefined) this.report(key, 'is of a job that is not over and has no description')
			this.openJobs.set(uid, key)
			return
		}
		this.terminalJobs.add(uid)
		const aborted = record.finalState === 'aborted'
		this.jobOccurrences.add(uid, { kind: 'terminal', key, aborted, doneCount: terminalDoneCount(record) })
	}

	private checkTerminalPage(key: string, shardId: number, data: unknown): void {
		const page = decodeTerminalPage(data)
		const jobs = page?.batches.flatMap((batch) => batch.jobs) ?? []
		if (page === null || jobs.some((job) => job.finalState === undefined)) {
			this.report(key, MALFORMED_RECORD)
			return
		}
		if (page.shardId !== shardId) this.report(key, `is of part ${page.shardId}`)
		for (const { uid, finalState, doneCount } of jobs) {
			this.terminalJobs.add(uid)
			const aborted = finalState === 'aborted'
			this.jobOccurrences.add(uid, { kind: 'terminal', key, aborted, doneCount })
		}
	}
}

/**
 * Heartbeat of a machine's agent: the body of `POST /checkin`, and of the response to `POST /commands`. On
 * the wire the agent epoch is `tenure`, the sequence `counter`, the fencing token `fence`, the preemption notice
 * `warningS`, and tasks are `pieces`.
 */
import { isMap, isWireInteger, type WireInteger } from './codec.js'

/** State of a task on its machine: fetching its image, running, saving its final checkpoint, or ended. */
export type TaskState = 'pulling' | 'running' | 'flushing' | 'ended'

/** Why a task ended. */
export type ExitReason = 'done' | 'halted' | 'error' | 'no_room' | 'in_use' | 'no_such'

/** One attempt of a task in a heartbeat. */
export interface ReportedTask {
	/** job id and index, `job-000412/4` */
	taskName: string
	/** the job's id */
	uid: string
	taskIndex: number
	attempt: WireInteger
	state: TaskState
	/** null: it has not ended, or no reason is given */
	exitReason: ExitReason | null
}

/** A machine's status. */
export interface Heartbeat {
	machineId: string
	/** where the agent is reached, as IP:PORT */
	address: string
	machineType: string
	zone: string
	spot: boolean
	agentEpoch: WireInteger
	sequence: WireInteger
	/** the largest fencing token that the agent has received */
	fencingToken: WireInteger
	/** seconds until the spot machine is taken back; null: no notice */
	preemptionNoticeS: number | null
	tasks: ReportedTask[]
}

const MAX_TEXT_LENGTH = 200

const isText = (value: unknown): value is string =>
	typeof value === 'string' && value.length > 0 && value.length <= MAX_TEXT_LENGTH

const TASK_STATES: readonly string[] = ['pulling', 'running', 'flushing', 'ended']
const MACHINE_ID_PATTERN = /^[\w.-]{1,64}$/

const parseTask = (entry: unknown): ReportedTask | null => {
	if (!isMap(entry) || !isText(entry.piece) || !isWireInteger(entry.try)) return null
	const slash = entry.piece.lastIndexOf('/')
	const taskIndex = Number(entry.piece.slice(slash + 1))
	if (slash < 1 || !Number.isInteger(taskIndex) || taskIndex < 0) return null
	// A state that a later version adds is taken for `running`, the safe reading: the task is on the machine.
	const state = (TASK_STATES.includes(entry.status as string) ? entry.status : 'running') as TaskState
	return {
		taskName: entry.piece,
		uid: entry.piece.slice(0, slash),
		taskIndex,
		attempt: entry.try,
		state,
		exitReason: typeof entry.cause === 'string' ? (entry.cause as ExitReason) : null,
	}
}

const parseTasks = (entries: unknown): ReportedTask[] | null => {
	if (!Array.isArray(entries)) return null
	const tasks: ReportedTask[] = []
	for (const entry of entries) {
		const task = parseTask(entry)
		if (task === null) return null
		tasks.push(task)
	}
	return tasks
}

/**
 * Reads a heartbeat; null: it is malformed. Checked by hand and not by a schema, for speed: dozens arrive every second
 * on a third of a core.
 */
export const parseHeartbeat = (body: unknown): Heartbeat | null => {
	if (!isMap(body)) return null
	const { host, addr, flavour, site, tenure, counter, fence, warningS, pieces } = body
	if (!isText(host) || !MACHINE_ID_PATTERN.test(host)) return null
	if (!isText(addr) || !isText(flavour) || !isText(site)) return null
	if (!isWireInteger(tenure) || !isWireInteger(counter) || !isWireInteger(fence)) return null
	const hasNotice = warningS !== null && warningS !== undefined
	if (hasNotice && !(Number(warningS) >= 0)) return null
	const tasks = parseTasks(pieces ?? [])
	if (tasks === null) return null
	return {
		machineId: host,
		address: addr,
		machineType: flavour,
		zone: site,
		spot: body.reclaimable === true,
		agentEpoch: tenure,
		sequence: counter,
		fencingToken: fence,
		preemptionNoticeS: hasNotice ? Number(warningS) : null,
		tasks,
	}
}

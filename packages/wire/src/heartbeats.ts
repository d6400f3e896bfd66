/**
 * Heartbeats of a machine's agent: the body of `POST /checkin` and of the response to `POST /commands`. On the wire the
 * agent epoch is `tenure`, the heartbeat sequence `counter`, the fencing token `fence`, the preemption notice `warningS`,
 * and tasks are `pieces`.
 */
import { isMap, isWireInteger, type WireInteger } from './codec.js'

/** State of a task on its machine. */
export type TaskState = 'pulling-image' | 'running' | 'checkpointing' | 'exited'

/**
 * Why an attempt exited. The last three are rejected starts: too few free resources, another attempt of the task on the
 * same machine, or a job whose description the machine cannot find.
 */
export type ExitReason =
	| 'completed'
	| 'stopped'
	| 'failed'
	| 'insufficient-resources'
	| 'attempt-conflict'
	| 'unknown-job'

/** One attempt of a task in a heartbeat. */
export interface ReportedTask {
	/** job id and task index, such as `job-000412/4` */
	taskName: string
	/** the job's id */
	uid: string
	taskIndex: number
	attempt: WireInteger
	state: TaskState
	/** null: the attempt has not exited, or its exit reason is unknown to this version */
	exitReason: ExitReason | null
}

/** A heartbeat: the state of a machine and its tasks. */
export interface Heartbeat {
	machineId: string
	/** address of the agent, as IP:PORT */
	address: string
	machineType: string
	zone: string
	spot: boolean
	agentEpoch: WireInteger
	sequence: WireInteger
	/** the largest fencing token that the agent has received */
	fencingToken: WireInteger
	/** seconds until the cloud reclaims the spot machine; null: no preemption notice */
	preemptionNoticeS: number | null
	tasks: ReportedTask[]
}

const MAX_TEXT_LENGTH = 200

const isText = (value: unknown): value is string =>
	typeof value === 'string' && value.length > 0 && value.length <= MAX_TEXT_LENGTH

/** Task states by their names on the wire. */
export const TASK_STATES_BY_WIRE_NAME: ReadonlyMap<unknown, TaskState> = new Map([
	['pulling', 'pulling-image'],
	['running', 'running'],
	['flushing', 'checkpointing'],
	['ended', 'exited'],
])

/** Exit reasons by their names on the wire. */
export const EXIT_REASONS_BY_WIRE_NAME: ReadonlyMap<unknown, ExitReason> = new Map([
	['done', 'completed'],
	['halted', 'stopped'],
	['error', 'failed'],
	['no_room', 'insufficient-resources'],
	['in_use', 'attempt-conflict'],
	['no_such', 'unknown-job'],
])
const MACHINE_ID_PATTERN = /^[\w.-]{1,64}$/

const parseTask = (entry: unknown): ReportedTask | null => {
	if (!isMap(entry) || !isText(entry.piece) || !isWireInteger(entry.try)) return null
	const slash = entry.piece.lastIndexOf('/')
	const taskIndex = Number(entry.piece.slice(slash + 1))
	if (slash < 1 || !Number.isInteger(taskIndex) || taskIndex < 0) return null
	// A state added by a later version is read as `running`, the safe assumption: the task is on the machine.
	const state = TASK_STATES_BY_WIRE_NAME.get(entry.status) ?? 'running'
	return {
		taskName: entry.piece,
		uid: entry.piece.slice(0, slash),
		taskIndex,
		attempt: entry.try,
		state,
		exitReason: EXIT_REASONS_BY_WIRE_NAME.get(entry.cause) ?? null,
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
 * Parses a heartbeat; null: it is malformed. Validated by hand rather than by a schema, for speed: dozens arrive every
 * second on a third of a core.
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

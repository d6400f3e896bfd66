import { isMap, isWireInteger, toWireInteger, type WireInteger } from './codec.js'

export type TaskState = 'pulling' | 'running' | 'flushing' | 'ended'
export type ExitReason = 'done' | 'halted' | 'error' | 'no_room' | 'in_use' | 'no_such'

export interface ReportedTask {
	/** `job-000412/4` */
	taskName: string
	uid: string
	taskIndex: number
	attempt: WireInteger
	state: TaskState
	exitReason: ExitReason | null
}

export interface Heartbeat {
	machineId: string
	address: string
	machineType: string
	zone: string
	spot: boolean
	agentEpoch: WireInteger
	sequence: WireInteger
	fencingToken: WireInteger
	preemptionNoticeS: number | null
	tasks: ReportedTask[]
}

export type Command =
	| { verb: 'start'; taskName: string; attempt: WireInteger }
	| { verb: 'kill'; taskName: string; attempt: WireInteger; gracePeriodS: number }
	| { verb: 'forget'; taskName: string; attempt: WireInteger }

const text = (v: unknown): v is string => typeof v === 'string' && v.length > 0 && v.length <= 200
const STATES: readonly string[] = ['pulling', 'running', 'flushing', 'ended']
const MACHINE = /^[\w.-]{1,64}$/

const readTask = (t: unknown): ReportedTask | null => {
	if (!isMap(t) || !text(t.piece) || !isWireInteger(t.try)) return null
	const slash = t.piece.lastIndexOf('/')
	const task = Number(t.piece.slice(slash + 1))
	if (slash < 1 || !Number.isInteger(task) || task < 0) return null
	// A state that a later version adds counts as "on the machine", the careful reading.
	const state = (STATES.includes(t.status as string) ? t.status : 'running') as TaskState
	return {
		taskName: t.piece,
		uid: t.piece.slice(0, slash),
		taskIndex: task,
		attempt: t.try,
		state,
		exitReason: typeof t.cause === 'string' ? (t.cause as ExitReason) : null,
	}
}

/** Reads a worker's report. Checked by hand: dozens arrive every second on a third of a core. */
export const parseHeartbeat = (body: unknown): Heartbeat | null => {
	if (!isMap(body)) return null
	const { host, addr, flavour, site, tenure, counter, fence, warningS, pieces } = body
	if (!text(host) || !MACHINE.test(host) || !text(addr) || !text(flavour) || !text(site)) return null
	if (!isWireInteger(tenure) || !isWireInteger(counter) || !isWireInteger(fence)) return null
	if (warningS !== null && warningS !== undefined && !(Number(warningS) >= 0)) return null
	const list = pieces ?? []
	if (!Array.isArray(list)) return null
	const tasks: ReportedTask[] = []
	for (const item of list) {
		const task = readTask(item)
		if (task === null) return null
		tasks.push(task)
	}
	return {
		machineId: host,
		address: addr,
		machineType: flavour,
		zone: site,
		spot: body.reclaimable === true,
		agentEpoch: tenure,
		sequence: counter,
		fencingToken: fence,
		preemptionNoticeS: warningS === null || warningS === undefined ? null : Number(warningS),
		tasks,
	}
}

const writeOrder = (o: Command): Record<string, unknown> =>
	o.verb === 'kill'
		? { verb: o.verb, piece: o.taskName, try: toWireInteger(o.attempt), windDownS: o.gracePeriodS }
		: { verb: o.verb, piece: o.taskName, try: toWireInteger(o.attempt) }

export const encodeCommands = (
	token: WireInteger,
	commands: readonly Command[],
	tenure?: WireInteger,
): Record<string, unknown> => {
	const out: Record<string, unknown> = { fence: toWireInteger(token), orders: commands.map(writeOrder) }
	if (tenure !== undefined) out.tenure = toWireInteger(tenure)
	return out
}

/** Orders in one response: at some 60 bytes each this stays far below the body limit. */
export const MAX_COMMANDS_PER_RESPONSE = 400

import { type Count, int, isCount, isMap } from './codec.js'

export type TaskState = 'pulling' | 'running' | 'flushing' | 'ended'
export type EndCause = 'done' | 'halted' | 'error' | 'no_room' | 'in_use' | 'no_such'

export interface ReportedTask {
	/** `job-000412/4` */
	name: string
	uid: string
	task: number
	attempt: Count
	state: TaskState
	cause: EndCause | null
}

export interface Report {
	machine: string
	addr: string
	type: string
	zone: string
	spot: boolean
	tenure: Count
	counter: Count
	token: Count
	noticeS: number | null
	tasks: ReportedTask[]
}

export type Order =
	| { verb: 'start'; name: string; attempt: Count }
	| { verb: 'kill'; name: string; attempt: Count; graceS: number }
	| { verb: 'forget'; name: string; attempt: Count }

const text = (v: unknown): v is string => typeof v === 'string' && v.length > 0 && v.length <= 200
const STATES: readonly string[] = ['pulling', 'running', 'flushing', 'ended']
const MACHINE = /^[\w.-]{1,64}$/

const readTask = (t: unknown): ReportedTask | null => {
	if (!isMap(t) || !text(t.piece) || !isCount(t.try)) return null
	const slash = t.piece.lastIndexOf('/')
	const task = Number(t.piece.slice(slash + 1))
	if (slash < 1 || !Number.isInteger(task) || task < 0) return null
	// A state that a later version adds counts as "on the machine", the careful reading.
	const state = (STATES.includes(t.status as string) ? t.status : 'running') as TaskState
	return {
		name: t.piece,
		uid: t.piece.slice(0, slash),
		task,
		attempt: t.try,
		state,
		cause: typeof t.cause === 'string' ? (t.cause as EndCause) : null,
	}
}

/** Reads a worker's report. Checked by hand: dozens arrive every second on a third of a core. */
export const readReport = (body: unknown): Report | null => {
	if (!isMap(body)) return null
	const { host, addr, flavour, site, tenure, counter, fence, warningS, pieces } = body
	if (!text(host) || !MACHINE.test(host) || !text(addr) || !text(flavour) || !text(site)) return null
	if (!isCount(tenure) || !isCount(counter) || !isCount(fence)) return null
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
		machine: host,
		addr,
		type: flavour,
		zone: site,
		spot: body.reclaimable === true,
		tenure,
		counter,
		token: fence,
		noticeS: warningS === null || warningS === undefined ? null : Number(warningS),
		tasks,
	}
}

const writeOrder = (o: Order): Record<string, unknown> =>
	o.verb === 'kill'
		? { verb: o.verb, piece: o.name, try: int(o.attempt), windDownS: o.graceS }
		: { verb: o.verb, piece: o.name, try: int(o.attempt) }

export const writeOrders = (
	token: Count,
	orders: readonly Order[],
	tenure?: Count,
): Record<string, unknown> => {
	const out: Record<string, unknown> = { fence: int(token), orders: orders.map(writeOrder) }
	if (tenure !== undefined) out.tenure = int(tenure)
	return out
}

/** Orders in one response: at some 60 bytes each this stays far below the body limit. */
export const ORDERS_PER_RESPONSE = 400

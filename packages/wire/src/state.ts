import { isMap } from './codec.js'

export interface Condition {
	key: string
	stamp: number
}

export type Change = { set: string; data: unknown; grant?: number } | { delete: string }

export interface LogEntry {
	key: string
	/** undefined: the key was deleted */
	data: unknown
	stamp: number
}

export const readLog = (body: unknown): { epoch: number; log: LogEntry[] } | null => {
	if (!isMap(body) || typeof body.epoch !== 'number' || !Array.isArray(body.log)) return null
	const log: LogEntry[] = []
	for (const e of body.log) {
		if (!isMap(e) || typeof e.stamp !== 'number') return null
		if (typeof e.set === 'string') log.push({ key: e.set, data: e.data ?? null, stamp: e.stamp })
		else if (typeof e.delete === 'string') log.push({ key: e.delete, data: undefined, stamp: e.stamp })
	}
	return { epoch: body.epoch, log }
}

export const readRange = (body: unknown): { entries: LogEntry[]; more: boolean; epoch: number } | null => {
	if (!isMap(body) || typeof body.epoch !== 'number' || !Array.isArray(body.entries)) return null
	const entries: LogEntry[] = []
	for (const e of body.entries) {
		if (!isMap(e) || typeof e.key !== 'string' || typeof e.stamp !== 'number') return null
		entries.push({ key: e.key, data: e.data ?? null, stamp: e.stamp })
	}
	return { entries, more: body.truncated === true, epoch: body.epoch }
}

import type { Admission, Release } from './types.js'

/** Characters of a reason that are kept. */
export const REASON = 300
/** Seconds: a hold is asked about again no sooner and no later than that, whatever the plug-in says. */
export const AGAIN_S = { least: 1, most: 600, usual: 15 } as const

/** An answer that says nothing that could be acted on. */
export class Nonsense {
	constructor(readonly why: string) {}
}

const isMap = (v: unknown): v is Record<string, unknown> =>
	typeof v === 'object' && v !== null && !Array.isArray(v)

const reason = (v: unknown): string | null =>
	typeof v === 'string' && v.trim() !== '' ? v.trim().slice(0, REASON) : null

const only = (v: unknown, names: readonly string[]): v is Record<string, unknown> =>
	isMap(v) && Object.keys(v).every((k) => names.includes(k))

export const readAdmission = (v: unknown): Admission | Nonsense => {
	if (only(v, ['pass']) && v.pass === true) return { pass: true }
	const refuse = only(v, ['refuse']) ? reason(v.refuse) : null
	return refuse === null ? new Nonsense('neither { pass: true } nor { refuse: "reason" }') : { refuse }
}

/** Reads an answer about a release; of a hold, `againS` is brought within its bounds. */
export const readRelease = (v: unknown): Release | Nonsense => {
	if (only(v, ['release']) && v.release === true) return { release: true }
	const hold = only(v, ['hold', 'againS']) ? reason(v.hold) : null
	if (hold === null) return new Nonsense('neither { release: true } nor { hold: "reason", againS }')
	const { againS = AGAIN_S.usual } = v as { againS?: unknown }
	if (typeof againS !== 'number' || Number.isNaN(againS)) return new Nonsense('againS is not a number')
	return { hold, againS: Math.min(AGAIN_S.most, Math.max(AGAIN_S.least, againS)) }
}

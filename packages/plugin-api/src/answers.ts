/** Validates what a plug-in's hooks return. */
import type { Admission, Release } from './types.js'

/** Maximum length of a reason, in characters; a longer one is shortened. */
export const MAX_REASON_LENGTH = 300
/** Bounds and default of `againS`, the delay until a held job is checked again, in s. Other values are clamped. */
export const HOLD_RETRY_S = { min: 1, max: 600, default: 15 } as const

/** An invalid answer, with the reason. */
export class InvalidAnswer {
	constructor(readonly why: string) {}
}

const isMap = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && !Array.isArray(value)

/** Returns the reason, trimmed and shortened; null if it is not a string or is empty. */
const readReason = (value: unknown): string | null =>
	typeof value === 'string' && value.trim() !== '' ? value.trim().slice(0, MAX_REASON_LENGTH) : null

/** Returns whether a value is an object with no fields but these. */
const hasOnlyFields = (value: unknown, names: readonly string[]): value is Record<string, unknown> =>
	isMap(value) && Object.keys(value).every((name) => names.includes(name))

/** Validates the answer of the hook `admit`. */
export const readAdmission = (value: unknown): Admission | InvalidAnswer => {
	if (hasOnlyFields(value, ['pass']) && value.pass === true) return { pass: true }
	const refuse = hasOnlyFields(value, ['refuse']) ? readReason(value.refuse) : null
	return refuse === null ? new InvalidAnswer('neither { pass: true } nor { refuse: "reason" }') : { refuse }
}

/** Validates the answer of the hook `release`; `againS` of a hold is clamped to its bounds. */
export const readRelease = (value: unknown): Release | InvalidAnswer => {
	if (hasOnlyFields(value, ['release']) && value.release === true) return { release: true }
	const hold = hasOnlyFields(value, ['hold', 'againS']) ? readReason(value.hold) : null
	if (hold === null) return new InvalidAnswer('neither { release: true } nor { hold: "reason", againS }')
	const { againS = HOLD_RETRY_S.default } = value as { againS?: unknown }
	if (typeof againS !== 'number' || Number.isNaN(againS)) return new InvalidAnswer('againS is not a number')
	return { hold, againS: Math.min(HOLD_RETRY_S.max, Math.max(HOLD_RETRY_S.min, againS)) }
}

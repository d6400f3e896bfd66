/**
 * The features of a value: each path in it with the type found there. Two messages with the same features have the
 * same format, whatever their contents; a renamed, lost or new field changes the features.
 */

/** Keys that are field names; ids, numbers and names with a hyphen or a slash are contents. */
const FIELD_NAME = /^[a-z][A-Za-z]*$/
/** Enumerations: the values of these fields are part of the wire format. */
const ENUM_FIELDS = new Set(['status', 'verb', 'cause', 'final', 'kind', 'priority', 'shape', 'urgency'])

const typeOf = (field: string, value: unknown): string => {
	if (value === null || value === undefined) return 'null'
	if (typeof value === 'string' && ENUM_FIELDS.has(field)) return `"${value}"`
	return typeof value === 'bigint' ? 'number' : typeof value
}

const walk = (path: string, field: string, value: unknown, found: Set<string>): void => {
	if (Array.isArray(value)) {
		found.add(`${path}: ${value.length === 0 ? 'empty list' : 'list'}`)
		for (const item of value) walk(`${path}[]`, field, item, found)
	} else if (typeof value === 'object' && value !== null) {
		const entries = Object.entries(value)
		found.add(`${path}: ${entries.length === 0 ? 'empty map' : 'map'}`)
		for (const [key, item] of entries) walk(`${path}.${FIELD_NAME.test(key) ? key : '*'}`, key, item, found)
	} else found.add(`${path}: ${typeOf(field, value)}`)
}

/** The features of a value, each as a text such as `.hosts.*: string`. */
export const featuresOf = (value: unknown): string[] => {
	const found = new Set<string>()
	walk('', '', value, found)
	return [...found].sort()
}

/**
 * Codecs for records and messages whose field names differ between the code and the stored or sent data. They preserve
 * the order of the fields, and fields added by a newer version that this one doesn't know.
 */

/** Field name in the code -> field name in stored or sent data. */
type FieldNames = Readonly<Record<string, string>>

type Fields = Record<string, unknown>

const renameFields = (fields: Fields, names: ReadonlyMap<string, string>): Fields => {
	const result: Fields = {}
	for (const [name, value] of Object.entries(fields)) result[names.get(name) ?? name] = value
	return result
}

/** Converts between `T`, a record as the code uses it, and its stored or sent form. */
export interface FieldNameCodec<T extends object> {
	encode(record: T): Record<string, unknown>
	/** The caller must have validated the stored form. Decoding the same object again returns the same result. */
	decode(stored: Record<string, unknown>): T
}

/** Creates a codec that renames the given fields and leaves all others as they are. */
export const fieldNameCodec = <T extends object>(names: FieldNames): FieldNameCodec<T> => {
	const toStored = new Map(Object.entries(names))
	const toCode = new Map(Object.entries(names).map(([code, stored]) => [stored, code]))
	// Records are read far more often than they change, so each stored object is decoded only once.
	const decoded = new WeakMap<object, T>()
	return {
		encode: (record) => renameFields(record as Fields, toStored),
		decode: (stored) => {
			const cached = decoded.get(stored)
			if (cached !== undefined) return cached
			const record = renameFields(stored, toCode) as T
			decoded.set(stored, record)
			return record
		},
	}
}

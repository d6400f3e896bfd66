/**
 * Codecs for records and messages whose fields have other names in stored and sent data than in the code. Only the names
 * differ: the order of the fields is kept, and so are fields that a newer version added and this one does not know.
 */

/** Pairs of a field's name in the code and its name in stored or sent data. */
type FieldNames = Readonly<Record<string, string>>

type Fields = Record<string, unknown>

const renameFields = (fields: Fields, names: ReadonlyMap<string, string>): Fields => {
	const result: Fields = {}
	for (const [name, value] of Object.entries(fields)) result[names.get(name) ?? name] = value
	return result
}

/** Translates between the code's form of a record, `T`, and its stored or sent form. */
export interface FieldNameCodec<T extends object> {
	encode(record: T): Record<string, unknown>
	/** The caller has validated the stored form. The same stored object always gives the same decoded object. */
	decode(stored: Record<string, unknown>): T
}

/** Makes a codec from the fields whose names differ; all other fields keep their names. */
export const fieldNameCodec = <T extends object>(names: FieldNames): FieldNameCodec<T> => {
	const toStored = new Map(Object.entries(names))
	const toCode = new Map(Object.entries(names).map(([code, stored]) => [stored, code]))
	// Records are read far more often than they change: each stored object is decoded once.
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

/** Lookup in a map that holds the key by construction. */

/** The key's value; throws if the map lacks it, which is a fault of the program. */
export const required = <Key, Value>(map: ReadonlyMap<Key, Value>, key: Key): Value => {
	const value = map.get(key)
	if (value === undefined) throw new Error(`no entry for ${String(key)}`)
	return value
}

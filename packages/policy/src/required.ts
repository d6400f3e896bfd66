/** Map lookup for keys that are present by construction. */

/** Returns the key's value; throws if the map lacks the key, which is a programming error. */
export const required = <Key, Value>(map: ReadonlyMap<Key, Value>, key: Key): Value => {
	const value = map.get(key)
	if (value === undefined) throw new Error(`no entry for ${String(key)}`)
	return value
}

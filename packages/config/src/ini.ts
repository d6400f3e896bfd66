/** INI file reader: checks sections and keys, and parses numbers, lists and addresses. */
import * as ini from 'ini'
import { ADDRESS_FORMAT, ADDRESS_PATTERN } from './address.js'
import { ConfigError } from './config-error.js'
import { readTextFile } from './text-file.js'

/** The keys of one section with their raw values. */
export type IniSection = Record<string, unknown>

/** The sections of a file by name. */
export type IniSections = Record<string, IniSection>

/** A number in an INI file: its section and key, its default and its inclusive bounds. */
export interface NumericKey {
	section: string
	key: string
	defaultValue: number
	min: number
	max: number
}

/**
 * Reads a file's sections. Throws a `ConfigError` for keys outside a section and for sections and keys that are not in
 * `knownKeys`, since they are most likely misspelt. The sections in `openSections` are returned unchecked.
 */
export const readIniSections = (
	path: string,
	knownKeys: ReadonlyMap<string, ReadonlySet<string>>,
	openSections: readonly string[],
): IniSections => {
	const sections = ini.parse(readTextFile(path))
	for (const [section, content] of Object.entries(sections)) {
		if (typeof content !== 'object') throw new ConfigError(`${path}: ${section}: stands outside a section`)
		if (openSections.includes(section)) continue
		const keys = knownKeys.get(section)
		if (keys === undefined) throw new ConfigError(`${path}: ${section}: no such section`)
		checkKeys(path, section, content, keys)
	}
	return sections
}

/** Throws a `ConfigError` for the first key of a section that is not in `knownKeys`. */
export const checkKeys = (
	path: string,
	sectionName: string,
	section: IniSection,
	knownKeys: ReadonlySet<string>,
): void => {
	for (const key of Object.keys(section))
		if (!knownKeys.has(key)) throw new ConfigError(`${path}: ${sectionName}.${key}: no such key`)
}

const readNumber = (path: string, sections: IniSections, numericKey: NumericKey): number => {
	const { section, key, defaultValue, min, max } = numericKey
	const raw = sections[section]?.[key]
	if (raw === undefined) return defaultValue
	const value = Number(raw)
	// Both comparisons are false for NaN, which is therefore out of range.
	const inRange = value >= min && value <= max
	if (raw === '' || typeof raw !== 'string' || !inRange)
		throw new ConfigError(`${path}: ${section}.${key}: must be a number from ${min} to ${max}`)
	return value
}

/** Reads all numbers of a table; those that are not in the file get their defaults. */
export const readNumbers = <Field extends string>(
	path: string,
	sections: IniSections,
	table: Record<Field, NumericKey>,
): Record<Field, number> => {
	const numbers = {} as Record<Field, number>
	for (const [field, numericKey] of Object.entries(table) as [Field, NumericKey][])
		numbers[field] = readNumber(path, sections, numericKey)
	return numbers
}

/** Parses a comma-separated list of names; null: the key is missing. `location` is `section.key`, for errors. */
export const readNameList = (path: string, location: string, raw: unknown): string[] | null => {
	if (raw === undefined) return null
	const list = String(raw)
		.split(',')
		.map((entry) => entry.trim())
	if (list.some((entry) => entry === ''))
		throw new ConfigError(`${path}: ${location}: must be names with commas between`)
	return list
}

/** Reads a section's `listen` address, as IP:PORT. */
export const readListenAddress = (path: string, sections: IniSections, section: string): string => {
	const { listen } = sections[section]
	if (typeof listen !== 'string' || !ADDRESS_PATTERN.test(listen))
		throw new ConfigError(`${path}: ${section}.listen: must be ${ADDRESS_FORMAT}`)
	return listen
}

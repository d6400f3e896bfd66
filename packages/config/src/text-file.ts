/** Reads settings files from disk. */
import { readFileSync } from 'node:fs'
import { ConfigError } from './config-error.js'

/** Returns the text of a file; throws a `ConfigError` with the system's error code if it cannot be read. */
export const readTextFile = (path: string): string => {
	try {
		return readFileSync(path, 'utf8')
	} catch (error) {
		const code = (error as NodeJS.ErrnoException).code ?? 'unknown'
		throw new ConfigError(`${path}: cannot be read (${code})`)
	}
}

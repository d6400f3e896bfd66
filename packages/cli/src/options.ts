/** Parsers of option values, and options for the configuration files that several commands read. */

import { type Config, ConfigError, loadConfig } from '@heathroad/config'
import { type Command, InvalidArgumentError } from 'commander'
import { EXIT, printError } from './output.js'

const ADDRESS = /^[\w.-]+:\d{1,5}$/

/** Parses a number; rejects values below 0. */
export const parseNumber = (text: string): number => {
	const value = Number(text)
	if (text.trim() === '' || !Number.isFinite(value) || value < 0)
		throw new InvalidArgumentError('not a number of 0 or more')
	return value
}

/** Parses names separated by commas. */
export const parseList = (text: string): string[] => text.split(',')

/** Parses an address and appends it to those of earlier uses of the same option. */
export const collectAddresses = (text: string, previous: string[] | undefined): string[] => {
	if (!ADDRESS.test(text)) throw new InvalidArgumentError('not an address and a port, such as 127.0.0.1:8080')
	return [...(previous ?? []), text]
}

/** Paths of the configuration files. */
export interface ConfigFiles {
	config: string
	ini?: string
}

/** Adds the options for the configuration files. */
export const withConfigFiles = (command: Command): Command =>
	command
		.option('--ini <file>', "operators' settings (INI)")
		.requiredOption('--config <file>', "the platform's settings (JSON)")

/** Reads the settings; if they are invalid, prints the error and ends the process. */
export const loadConfigOrExit = ({ config, ini }: ConfigFiles): Config => {
	try {
		return loadConfig(config, ini)
	} catch (error) {
		if (!(error instanceof ConfigError)) throw error
		printError(error.message)
		process.exit(EXIT.usage)
	}
}

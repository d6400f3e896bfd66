/** Parsers of option values, and the configuration files that several commands read. */

import { type Config, ConfigError, loadConfig } from '@heathroad/config'
import { type Command, InvalidArgumentError } from 'commander'
import { EXIT, printError } from './output.js'

const ADDRESS = /^[\w.-]+:\d{1,5}$/

/** Parses a number of 0 or more. */
export const parseNumber = (text: string): number => {
	const value = Number(text)
	if (text.trim() === '' || !Number.isFinite(value) || value < 0)
		throw new InvalidArgumentError('not a number of 0 or more')
	return value
}

/** Parses names separated by commas. */
export const parseList = (text: string): string[] => text.split(',')

/** Parses an address and adds it to those of earlier uses of the same option. */
export const collectAddresses = (text: string, previous: string[] | undefined): string[] => {
	if (!ADDRESS.test(text)) throw new InvalidArgumentError('not an address and a port, such as 127.0.0.1:8080')
	return [...(previous ?? []), text]
}

/** The files that hold the settings. */
export interface ConfigFiles {
	config: string
	ini?: string
}

/** Adds the options that name the settings' files. */
export const withConfigFiles = (command: Command): Command =>
	command
		.option('--ini <file>', "operators' own settings")
		.requiredOption('--config <file>', "the platform's settings (JSON)")

/** Reads the settings; prints what is wrong with them and ends the process if they are invalid. */
export const loadConfigOrExit = ({ config, ini }: ConfigFiles): Config => {
	try {
		return loadConfig(config, ini)
	} catch (error) {
		if (!(error instanceof ConfigError)) throw error
		printError(error.message)
		process.exit(EXIT.usage)
	}
}

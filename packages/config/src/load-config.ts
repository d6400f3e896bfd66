/** Loading of a controller's whole configuration: the platform's settings, the operators', and derived limits. */
import { ConfigError } from './config-error.js'
import { type DerivedLimits, deriveLimits } from './derived-limits.js'
import { defaultHistorySettings, type OperatorSettings, readOperatorSettings } from './operator-settings.js'
import { maxValueChars, parseSettings, type Settings } from './settings.js'
import { readTextFile } from './text-file.js'

/** A controller's configuration. */
export interface Config extends OperatorSettings {
	settings: Settings
	limits: DerivedLimits
}

/** Bounds of a page of terminal states: one value of the state service, and no more jobs than are archived together. */
export const terminalPageLimits = (config: Config): { maxValueChars: number; maxJobs: number } => ({
	maxValueChars: maxValueChars(config.settings),
	maxJobs: (config.history ?? defaultHistorySettings).archiveBatchSize,
})

const readSettings = (path: string): Settings => {
	const text = readTextFile(path)
	let value: unknown
	try {
		value = JSON.parse(text)
	} catch {
		throw new ConfigError(`${path}: is not JSON`)
	}
	try {
		return parseSettings(value)
	} catch (error) {
		throw new ConfigError(`${path}: ${(error as Error).message}`)
	}
}

/**
 * Users over HTTP can be asked to try again later while a cancellation is not confirmed; a gRPC stream sends terminal
 * states in their order or not at all, so it needs cancellations that are confirmed at once.
 */
const checkGrpcCancellation = (
	iniPath: string | undefined,
	settings: Settings,
	limits: DerivedLimits,
): void => {
	if (limits.cancellationConfirmDelayMs <= 0) return
	const minCancelS = settings.deployment.workers.cancel_s + limits.cancellationConfirmDelayMs / 1000
	throw new ConfigError(`${iniPath}: [grpc]: needs a cancel_s of ${minCancelS.toFixed(1)} at least`)
}

/** Reads and checks both files; throws a `ConfigError` for the first fault. */
export const loadConfig = (settingsPath: string, iniPath?: string): Config => {
	const settings = readSettings(settingsPath)
	const operatorSettings = readOperatorSettings(iniPath)
	const limits = deriveLimits(settings)
	if (operatorSettings.grpc !== null) checkGrpcCancellation(iniPath, settings, limits)
	return { settings, ...operatorSettings, limits }
}

/** Loads a controller's whole configuration: the platform's and the operators' settings, and the derived limits. */
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

/**
 * Limits of a page of terminal states: the size of one value of the state service, and the size of an archive batch.
 */
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
 * Rejects settings under which cancellations are confirmed late if the gRPC server is enabled. HTTP users can be asked
 * to retry until a cancellation is confirmed, but a gRPC stream cannot hold back a terminal state, since it sends them
 * in order.
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

/** Reads and checks both files; throws a `ConfigError` for the first error. */
export const loadConfig = (settingsPath: string, iniPath?: string): Config => {
	const settings = readSettings(settingsPath)
	const operatorSettings = readOperatorSettings(iniPath)
	const limits = deriveLimits(settings)
	if (operatorSettings.grpc !== null) checkGrpcCancellation(iniPath, settings, limits)
	return { settings, ...operatorSettings, limits }
}

/** Operators' settings, read from an INI file. All have defaults; optional features are off without a file. */
import { type IniSections, type NumericKey, readIniSections, readListenAddress, readNumbers } from './ini.js'
import { PLUGINS_SECTION_NUMERIC_KEYS, type PluginsSettings, readPluginsSettings } from './plugin-settings.js'

/** Settings of the scheduler. */
export interface Tuning {
	/** heartbeat intervals after which an empty machine is released to the cloud */
	idleHeartbeats: number
	/** heartbeat intervals between two writes of open jobs' progress */
	progressHeartbeats: number
	/** a job's default budget, from 0 for the lowest sequential cost to 1 for the parallel cost */
	budgetMix: number
}

/** Settings and limits of the gRPC server, which is enabled only if the INI file has its section. */
export interface GrpcSettings {
	/** address on which it listens, as IP:PORT */
	listen: string
	/** maximum number of connections; 0: an eighth of the process's sockets */
	maxConnections: number
	/** maximum number of streams, of which each team has an equal share */
	maxStreams: number
	/** maximum number of job ids in the request of one stream */
	maxIdsPerStream: number
	/** maximum number of job ids in the requests of all open streams together */
	maxWatchedIds: number
	/** maximum number of streams that may open in a second */
	maxOpensPerS: number
	/** maximum number of terminal states by which a reader may lag */
	maxLag: number
	/** time after which a stream is closed if its reader accepts no data, in seconds */
	stallTimeoutS: number
	/** shortest interval between two updates of a job that is not terminal, in seconds */
	minUpdateIntervalS: number
	/** number of terminal states kept for clients that resume a watch of their team */
	resumeHistorySize: number
}

/** Settings of the archive of terminal jobs, which is enabled only if the INI file has its section. */
export interface HistorySettings {
	/** number of terminal states of one shard that are archived together */
	archiveBatchSize: number
	/** share of the controller's write rate that the archive may use */
	writeRateShare: number
	/** size of the cache of archive pages, in MB */
	pageCacheMb: number
}

/** Settings of the drain when the process shuts down. */
export interface DaemonSettings {
	/** longest duration of a drain, in seconds */
	drainTimeoutS: number
	/** first phase of a drain, during which the load balancer notices that it must send no more requests, in seconds */
	balancerDelayS: number
}

/** Settings of the metrics server, which is enabled only if the INI file has its section. */
export interface MetricsSettings {
	/** address on which it listens, as IP:PORT */
	listen: string
}

/** Everything that an INI file sets. */
export interface OperatorSettings {
	tuning: Tuning
	daemon: DaemonSettings
	/** null: no plug-ins are loaded */
	plugins: PluginsSettings | null
	/** null: no metrics server */
	metrics: MetricsSettings | null
	/** null: no gRPC server */
	grpc: GrpcSettings | null
	/** null: terminal jobs stay in memory, unless the format of the stored records already has an archive */
	history: HistorySettings | null
}

const TUNING_NUMERIC_KEYS: { [Field in keyof Tuning]: NumericKey } = {
	idleHeartbeats: { section: 'machines', key: 'idle_reports', defaultValue: 6, min: 1, max: 10_000 },
	progressHeartbeats: { section: 'store', key: 'progress_reports', defaultValue: 3, min: 1, max: 10_000 },
	budgetMix: { section: 'budget', key: 'mix', defaultValue: 0.5, min: 0, max: 1 },
}

const GRPC_NUMERIC_KEYS: { [Field in Exclude<keyof GrpcSettings, 'listen'>]: NumericKey } = {
	maxConnections: { section: 'grpc', key: 'connections', defaultValue: 0, min: 0, max: 100_000 },
	maxStreams: { section: 'grpc', key: 'streams', defaultValue: 500, min: 1, max: 100_000 },
	maxIdsPerStream: { section: 'grpc', key: 'uids', defaultValue: 1000, min: 1, max: 100_000 },
	maxWatchedIds: { section: 'grpc', key: 'watched', defaultValue: 20_000, min: 1, max: 10_000_000 },
	maxOpensPerS: { section: 'grpc', key: 'opens_per_s', defaultValue: 50, min: 1, max: 10_000 },
	maxLag: { section: 'grpc', key: 'behind', defaultValue: 10_000, min: 1, max: 10_000_000 },
	stallTimeoutS: { section: 'grpc', key: 'stall_s', defaultValue: 30, min: 1, max: 3600 },
	minUpdateIntervalS: { section: 'grpc', key: 'every_s', defaultValue: 0.5, min: 0.05, max: 60 },
	resumeHistorySize: { section: 'grpc', key: 'history', defaultValue: 20_000, min: 1, max: 1_000_000 },
}

const HISTORY_NUMERIC_KEYS: { [Field in keyof HistorySettings]: NumericKey } = {
	archiveBatchSize: { section: 'history', key: 'batch', defaultValue: 600, min: 1, max: 20_000 },
	writeRateShare: { section: 'history', key: 'share', defaultValue: 0.2, min: 0.01, max: 1 },
	pageCacheMb: { section: 'history', key: 'cache_mb', defaultValue: 2, min: 0.1, max: 1000 },
}

const DAEMON_NUMERIC_KEYS: { [Field in keyof DaemonSettings]: NumericKey } = {
	drainTimeoutS: { section: 'daemon', key: 'drain_s', defaultValue: 30, min: 1, max: 3600 },
	balancerDelayS: { section: 'daemon', key: 'balancer_s', defaultValue: 4, min: 0, max: 600 },
}

const NUMERIC_KEYS: readonly NumericKey[] = [
	...Object.values(TUNING_NUMERIC_KEYS),
	...Object.values(GRPC_NUMERIC_KEYS),
	...Object.values(HISTORY_NUMERIC_KEYS),
	...Object.values(DAEMON_NUMERIC_KEYS),
	...Object.values(PLUGINS_SECTION_NUMERIC_KEYS),
]

/** All known keys by section, except those of the sections [plugin.NAME]. */
const knownKeysBySection = (): Map<string, Set<string>> => {
	const knownKeys = new Map([
		['grpc', new Set(['listen'])],
		['metrics', new Set(['listen'])],
		['plugins', new Set(['dir'])],
	])
	for (const { section, key } of NUMERIC_KEYS) {
		const keys = knownKeys.get(section) ?? new Set<string>()
		knownKeys.set(section, keys.add(key))
	}
	return knownKeys
}

const readGrpcSettings = (path: string, sections: IniSections): GrpcSettings | null => {
	if (sections.grpc === undefined) return null
	const listen = readListenAddress(path, sections, 'grpc')
	return { listen, ...readNumbers(path, sections, GRPC_NUMERIC_KEYS) }
}

const readMetricsSettings = (path: string, sections: IniSections): MetricsSettings | null => {
	if (sections.metrics === undefined) return null
	return { listen: readListenAddress(path, sections, 'metrics') }
}

const readHistorySettings = (path: string, sections: IniSections): HistorySettings | null => {
	if (sections.history === undefined) return null
	return readNumbers(path, sections, HISTORY_NUMERIC_KEYS)
}

/**
 * Reads the operators' settings from an INI file; without a file, all have their defaults and optional features are
 * off. Throws a `ConfigError` for the first error in the order in which the sections are read.
 */
export const readOperatorSettings = (path: string | undefined): OperatorSettings => {
	const sections = path === undefined ? {} : readIniSections(path, knownKeysBySection(), ['plugin'])
	const file = path ?? ''
	const tuning = readNumbers(file, sections, TUNING_NUMERIC_KEYS)
	const history = readHistorySettings(file, sections)
	const daemon = readNumbers(file, sections, DAEMON_NUMERIC_KEYS)
	const plugins = readPluginsSettings(file, sections)
	const metrics = readMetricsSettings(file, sections)
	const grpc = readGrpcSettings(file, sections)
	return { tuning, daemon, plugins, metrics, grpc, history }
}

/** The operators' settings without an INI file. */
export const DEFAULT_OPERATOR_SETTINGS = readOperatorSettings(undefined)

/** Settings of the gRPC server if its section sets only `listen`. */
export const defaultGrpcSettings = (listen: string): GrpcSettings => ({
	listen,
	...readNumbers('', {}, GRPC_NUMERIC_KEYS),
})

/** Settings of the archive if its section is empty. */
export const defaultHistorySettings: HistorySettings = readNumbers('', {}, HISTORY_NUMERIC_KEYS)

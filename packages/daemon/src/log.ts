/** Creates the log of the process. */

import type { Log, LogLevel } from '@heathroad/logging'
import pino from 'pino'

const LEVELS: readonly LogLevel[] = ['error', 'info', 'debug']
const DEFAULT_LEVEL: LogLevel = 'info'
/** File descriptor of standard error. */
const STANDARD_ERROR = 2

const isLevel = (name: string): name is LogLevel => LEVELS.some((level) => level === name)

/**
 * Creates a log that writes one JSON object per line to standard error, at the level of `LOG_LEVEL` (default: `info`).
 */
export const createLog = (requestedLevel = process.env.LOG_LEVEL ?? DEFAULT_LEVEL): Log => {
	const isKnown = isLevel(requestedLevel)
	const logger = pino(
		{
			base: null,
			level: isKnown ? requestedLevel : DEFAULT_LEVEL,
			messageKey: 'event',
			timestamp: () => `,"time":"${new Date().toISOString()}"`,
			formatters: { level: (level) => ({ level }) },
		},
		// Synchronous, so that no line is lost when the process exits by itself.
		pino.destination({ dest: STANDARD_ERROR, sync: true }),
	)
	if (!isKnown) logger.error({ asked: requestedLevel }, 'unknown LOG_LEVEL, using info')
	return (level, event, fields) =>
		fields === undefined ? logger[level](event) : logger[level](fields, event)
}

/** The process's log. */

import type { Log, LogLevel } from '@heathroad/logging'
import pino from 'pino'

const LEVELS: readonly LogLevel[] = ['error', 'info', 'debug']
const DEFAULT_LEVEL: LogLevel = 'info'
/** File descriptor of standard error. */
const STANDARD_ERROR = 2

const isLevel = (name: string): name is LogLevel => LEVELS.some((level) => level === name)

/**
 * Makes a log that writes one JSON object a line to standard error, at the level that `LOG_LEVEL` names or `info`.
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
		// Synchronous: a process that ends without a signal must have written everything.
		pino.destination({ dest: STANDARD_ERROR, sync: true }),
	)
	if (!isKnown) logger.error({ asked: requestedLevel }, 'unknown LOG_LEVEL, using info')
	return (level, event, fields) =>
		fields === undefined ? logger[level](event) : logger[level](fields, event)
}

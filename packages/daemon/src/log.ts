import type { Log, LogLevel } from '@heathroad/logging'
import pino from 'pino'

const LEVELS: readonly LogLevel[] = ['error', 'info', 'debug']

/** One JSON object a line on standard error, at the level that `LOG_LEVEL` names. */
export const makeLog = (asked = process.env.LOG_LEVEL ?? 'info'): Log => {
	const known = LEVELS.includes(asked as LogLevel)
	const logger = pino(
		{
			base: null,
			level: known ? asked : 'info',
			messageKey: 'event',
			timestamp: () => `,"time":"${new Date().toISOString()}"`,
			formatters: { level: (level) => ({ level }) },
		},
		// Written at once, as a process that ends without a signal must have told all.
		pino.destination({ dest: 2, sync: true }),
	)
	if (!known) logger.error({ asked }, 'unknown LOG_LEVEL, using info')
	return (level, event, fields) =>
		fields === undefined ? logger[level](event) : logger[level](fields, event)
}

/** Output functions and exit codes of the commands. */

/** Exit codes of all commands; `state-tools.ts` defines other meanings for the `state` commands. */
export const EXIT = {
	/** the service refused the request or did not answer */
	refused: 1,
	/** invalid settings or arguments */
	usage: 2,
} as const

/** Prints a line to standard output. */
export const printLine = (line: string): void => void process.stdout.write(`${line}\n`)

/** Prints an error message as one line to standard error. */
export const printError = (message: string): void => void process.stderr.write(`heathroad: ${message}\n`)

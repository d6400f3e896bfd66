/** Printing and exit codes of the commands. */

/** Exit codes of all commands; those below `state` have their own meaning of the first. */
export const EXIT = {
	/** the service refused, or gave no answer */
	refused: 1,
	/** wrong settings or arguments */
	usage: 2,
} as const

/** Prints a line to the standard output. */
export const printLine = (line: string): void => void process.stdout.write(`${line}\n`)

/** Prints an error to the standard error, in one line. */
export const printError = (message: string): void => void process.stderr.write(`heathroad: ${message}\n`)

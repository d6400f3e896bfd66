/** Printing for commands. */

/** Prints a line to the standard output. */
export const printLine = (line: string): void => void process.stdout.write(`${line}\n`)

/**
 * Lookup of one job among packed jobs without unpacking the others. This takes half the time, which matters because
 * bursts of requests for old jobs are answered on a third of a core.
 */

import type { ArchivedJob } from './archived-job.js'
import { ordinalDigits, ordinalWidth } from './ordinals.js'
import { type Columns, InvalidArchivePage, readColumns } from './packed-jobs.js'

/** Numbers of up to this many digits are exact as floating-point numbers. */
const EXACT_DIGITS = 15

/** Index of the number whose value, the sum of the differences up to it, equals the digits; -1: there is none. */
const indexOfDigits = <Value extends number | bigint>(
	differences: readonly string[],
	digits: string,
	parse: (text: string) => Value,
	zero: Value,
): number => {
	const wanted = parse(digits)
	let value = zero
	for (let index = 0; index < differences.length; index++) {
		// Both values have the type that `parse` returns, but the compiler cannot add two values of a type parameter.
		value = ((value as number) + (parse(differences[index]) as number)) as Value
		if (value >= wanted) return value === wanted ? index : -1
	}
	return -1
}

const jobAt = (columns: Columns, index: number, ordinal: string): ArchivedJob => {
	const aborted = columns.aborted.find(([abortedIndex]) => abortedIndex === index)
	const done = columns.done[index]
	return {
		ordinal,
		aborted: aborted !== undefined,
		taskCount: aborted?.[1] ?? done,
		doneCount: done,
		revision: columns.epoch + columns.epochs[index],
	}
}

const findInColumns = (columns: Columns, ordinal: string): ArchivedJob | undefined => {
	const wantedWidth = ordinalWidth(ordinal)
	const digits = ordinalDigits(ordinal)
	let groupStart = 0
	for (const [width, text] of columns.ids) {
		const differences = text.split(',')
		if (width !== wantedWidth) {
			groupStart += differences.length
			continue
		}
		const index =
			width <= EXACT_DIGITS
				? indexOfDigits(differences, digits, Number, 0)
				: indexOfDigits(differences, digits, BigInt, 0n)
		return index < 0 ? undefined : jobAt(columns, groupStart + index, ordinal)
	}
	return undefined
}

/** Finds one of the packed jobs; throws `InvalidArchivePage` if the text is malformed. */
export const findInPacked = (packed: string, ordinal: string): ArchivedJob | undefined => {
	if (packed === '') return undefined
	try {
		return findInColumns(readColumns(packed), ordinal)
	} catch (error) {
		throw new InvalidArchivePage((error as Error).message)
	}
}

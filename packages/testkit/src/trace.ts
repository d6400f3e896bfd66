/**
 * Traces of simulated days: every message that a controller sends or receives, in order, with its encoded bytes. Two
 * versions of the service whose traces are equal behave alike on that day, as seen from outside.
 */
import { createHash } from 'node:crypto'
import { decode, encode } from '@heathroad/wire'
import { type RandomDayKind, runRandomDay } from './random-day-runner.js'
import { runStreamDay } from './stream-days.js'

/** One message that crosses the boundary of a controller. */
export interface TracedMessage {
	/** the virtual time at which the controller sends or receives it */
	atMs: number
	controller: string
	/** its sender or receiver */
	other: string
	/** as the controller sees it */
	direction: 'in' | 'out'
	/** an event: one message of an event stream */
	kind: 'request' | 'answer' | 'event'
	/** method, path and timeout of a request; status and request of an answer */
	head: string
	/** undefined: it has none */
	body: unknown
}

/** The kinds of days that can be traced: those of the random days, and days with readers of event streams. */
export type TraceKind = RandomDayKind | 'streams'

/** Digest of a day: the number of messages, and the hash of all their lines. */
export interface TraceDigest {
	messages: number
	sha256: string
}

/** Written in place of the body if a message has none. */
const NO_BODY = '-'

const bodyText = (body: unknown): string => (body === undefined ? NO_BODY : encode(body).toString('hex'))

/** A message as one line of text; the body comes last, as the hex digits of its encoded bytes. */
export const traceLine = (message: TracedMessage): string => {
	const { atMs, controller, other, direction, kind, head, body } = message
	const arrow = direction === 'in' ? '<-' : '->'
	return `${atMs} ${controller} ${arrow} ${other} ${kind} ${head} ${bodyText(body)}`
}

/** JSON has no integers beyond 2^53; they are written as strings. */
const withoutBigInts = (_key: string, value: unknown): unknown =>
	typeof value === 'bigint' ? `${value}n` : value

/** A line with its body decoded as well; the hex digits show differences of bytes that decode alike. */
const readable = (line: string): string => {
	const hex = line.slice(line.lastIndexOf(' ') + 1)
	if (hex === NO_BODY) return line
	return `${line} ${JSON.stringify(decode(Buffer.from(hex, 'hex')), withoutBigInts)}`
}

/**
 * The digest of the messages that `runDay` hands to its argument, in order. `dump` takes each message as a line of text
 * with its decoded body.
 */
export const digestMessages = async (
	runDay: (trace: (message: TracedMessage) => void) => Promise<unknown>,
	dump: ((line: string) => void) | null = null,
): Promise<TraceDigest> => {
	const hash = createHash('sha256')
	let messages = 0
	await runDay((message) => {
		const line = traceLine(message)
		messages++
		hash.update(`${line}\n`)
		dump?.(readable(line))
	})
	return { messages, sha256: hash.digest('hex') }
}

/** The digest of the day of a kind that follows from a seed. `dump`: see `digestMessages`. */
export const traceDay = (
	seed: number,
	kind: TraceKind,
	dump: ((line: string) => void) | null = null,
): Promise<TraceDigest> =>
	digestMessages(
		(trace) => (kind === 'streams' ? runStreamDay(seed, { trace }) : runRandomDay(seed, kind, { trace })),
		dump,
	)

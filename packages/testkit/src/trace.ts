/**
 * Traces of simulated days: every message that a controller sends or receives, in order, with its encoded bytes. Equal
 * traces show that two versions of the service have the same external behaviour on that day.
 */
import { createHash } from 'node:crypto'
import { decode, encode } from '@heathroad/wire'
import { type RandomDayKind, runRandomDay } from './random-day-runner.js'
import { runStreamDay } from './stream-days.js'

/** A message that a controller sends or receives. */
export interface TracedMessage {
	/** the virtual time at which the controller sends or receives it */
	atMs: number
	controller: string
	/** the host at the other end */
	other: string
	/** from the point of view of the controller */
	direction: 'in' | 'out'
	/** `event`: a message of an event stream */
	kind: 'request' | 'answer' | 'event'
	/** method, path and timeout of a request; status and request of an answer */
	head: string
	/** undefined: the message has none */
	body: unknown
}

/** Kinds of days that can be traced: the random days, and `streams`, days with readers of event streams. */
export type TraceKind = RandomDayKind | 'streams'

/** Digest of a day: the number of messages and the hash of all their lines. */
export interface TraceDigest {
	messages: number
	sha256: string
}

/** Written in place of the body if a message has none. */
const NO_BODY = '-'

const bodyText = (body: unknown): string => (body === undefined ? NO_BODY : encode(body).toString('hex'))

/** Formats a message as one line of text; the body comes last, encoded in hex. */
export const traceLine = (message: TracedMessage): string => {
	const { atMs, controller, other, direction, kind, head, body } = message
	const arrow = direction === 'in' ? '<-' : '->'
	return `${atMs} ${controller} ${arrow} ${other} ${kind} ${head} ${bodyText(body)}`
}

/** JSON replacer: writes bigints as strings, since JSON numbers are exact only up to 2^53. */
const withoutBigInts = (_key: string, value: unknown): unknown =>
	typeof value === 'bigint' ? `${value}n` : value

/** Appends the decoded body to a line; the hex digits show bytes that differ but decode to equal values. */
const withDecodedBody = (line: string): string => {
	const hex = line.slice(line.lastIndexOf(' ') + 1)
	if (hex === NO_BODY) return line
	return `${line} ${JSON.stringify(decode(Buffer.from(hex, 'hex')), withoutBigInts)}`
}

/**
 * Returns the digest of the messages that `runDay` passes to its argument, in order. `dump` receives each message as a
 * line of text with its decoded body.
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
		dump?.(withDecodedBody(line))
	})
	return { messages, sha256: hash.digest('hex') }
}

/** Runs the day of this seed and kind, and returns its digest. `dump`: see `digestMessages`. */
export const traceDay = (
	seed: number,
	kind: TraceKind,
	dump: ((line: string) => void) | null = null,
): Promise<TraceDigest> =>
	digestMessages(
		(trace) => (kind === 'streams' ? runStreamDay(seed, { trace }) : runRandomDay(seed, kind, { trace })),
		dump,
	)

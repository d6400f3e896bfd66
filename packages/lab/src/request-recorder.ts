/** Sends the lab's requests over HTTP, records latencies and counts failures. */
import { createHttpClient, type HttpResponse } from '@heathroad/wire'
import { Effect } from 'effect'
import { build, type Histogram } from 'hdr-histogram-js'

/** Kinds of requests, which are recorded separately; `old poll`: polls of archived jobs, `report`: heartbeats. */
export const REQUEST_KINDS = ['submit', 'poll', 'old poll', 'report'] as const
export type RequestKind = (typeof REQUEST_KINDS)[number]

/** Number of requests in one second by kind. */
export interface RequestCounts {
	/** answered with a status other than 429 and 5xx */
	answered: Record<RequestKind, number>
	/** answered with 429 or 5xx, or without a response */
	failed: Record<RequestKind, number>
}

/** One request to a controller. */
export interface LabRequest {
	kind: RequestKind
	/** address of the controller */
	to: string
	method: string
	path: string
	body: unknown
	timeoutMs: number
}

/** Maximum number of connections to each controller. */
const CONNECTIONS = 64

/** Creates a histogram of latencies up to `maxMs`. */
export const latencyHistogram = (maxMs: number): Histogram =>
	build({ highestTrackableValue: maxMs, numberOfSignificantValueDigits: 3 })

const byKind = <Value>(create: () => Value): Record<RequestKind, Value> => ({
	submit: create(),
	poll: create(),
	'old poll': create(),
	report: create(),
})

const noCounts = (): RequestCounts => ({ answered: byKind(() => 0), failed: byKind(() => 0) })

/** Sends and records all requests of an experiment. */
export class RequestRecorder {
	readonly latencies: Record<RequestKind, Histogram> = byKind(() => latencyHistogram(60_000))
	private counts = noCounts()
	/** when requests were answered, in order */
	private readonly answers: { atS: number; kind: RequestKind }[] = []
	private readonly client = createHttpClient(CONNECTIONS)

	/** `nowS`: returns the seconds since the experiment started. */
	constructor(private readonly nowS: () => number) {}

	/** Sends a request and returns the response; null: there was none. */
	async send({ kind, to, method, path, body, timeoutMs }: LabRequest): Promise<HttpResponse | null> {
		const sentMs = performance.now()
		const result = await Effect.runPromise(
			Effect.option(this.client.request(to, method, path, body, timeoutMs)),
		)
		const response = result._tag === 'Some' ? result.value : null
		if (response === null || response.status >= 500 || response.status === 429) {
			this.counts.failed[kind]++
			return response
		}
		this.latencies[kind].recordValue(Math.max(1, Math.round(performance.now() - sentMs)))
		this.counts.answered[kind]++
		this.answers.push({ atS: this.nowS(), kind })
		return response
	}

	/** Returns the counts since the previous call. */
	takeCounts(): RequestCounts {
		const { counts } = this
		this.counts = noCounts()
		return counts
	}

	/** Returns when each kind of request was first answered after `atS`, in seconds; null: never. */
	firstAnswersAfter(atS: number): Record<string, number | null> {
		return Object.fromEntries(
			REQUEST_KINDS.map((kind) => [
				kind,
				this.answers.find((answer) => answer.kind === kind && answer.atS > atS)?.atS ?? null,
			]),
		)
	}

	/** Closes all connections. */
	close(): void {
		this.client.close()
	}
}

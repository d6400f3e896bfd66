/** Sends the lab's requests over HTTP and records their latencies and outcomes. */
import { createHttpClient, type HttpResponse } from '@heathroad/wire'
import { Effect } from 'effect'
import { build, type Histogram } from 'hdr-histogram-js'

/** Kinds of requests that are recorded apart; `old poll`: about archived jobs, `report`: heartbeats. */
export const KINDS = ['submit', 'poll', 'old poll', 'report'] as const
export type Kind = (typeof KINDS)[number]

/** Requests of one second by kind. */
export interface RequestCounts {
	/** answered, and not rejected */
	answered: Record<Kind, number>
	/** rejected or unanswered */
	failed: Record<Kind, number>
}

/** One request to a controller. */
export interface LabRequest {
	kind: Kind
	/** address of the controller */
	to: string
	method: string
	path: string
	body: unknown
	timeoutMs: number
}

/** Connections of the HTTP client to each controller. */
const CONNECTIONS = 64

/** A histogram of latencies in ms up to a largest value. */
export const latencyHistogram = (maxMs: number): Histogram =>
	build({ highestTrackableValue: maxMs, numberOfSignificantValueDigits: 3 })

const byKind = <Value>(create: () => Value): Record<Kind, Value> => ({
	submit: create(),
	poll: create(),
	'old poll': create(),
	report: create(),
})

const noCounts = (): RequestCounts => ({ answered: byKind(() => 0), failed: byKind(() => 0) })

/** Records all requests of an experiment. */
export class RequestRecorder {
	readonly latencies: Record<Kind, Histogram> = byKind(() => latencyHistogram(60_000))
	private counts = noCounts()
	/** when requests were answered, in order */
	private readonly answers: { atS: number; kind: Kind }[] = []
	private readonly client = createHttpClient(CONNECTIONS)

	/** `nowS`: seconds since the experiment began. */
	constructor(private readonly nowS: () => number) {}

	/** Sends a request; null: there was no response. */
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

	/** When each kind was first answered after a time, in seconds; null: never. */
	firstAnswersAfter(atS: number): Record<string, number | null> {
		return Object.fromEntries(
			KINDS.map((kind) => [
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

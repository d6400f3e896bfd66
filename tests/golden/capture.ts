/**
 * Captures the requests that a client sends, with an HTTP client that records them and gives a fixed response.
 */
import { decode, encode, type HttpClient, type HttpResponse } from '@heathroad/wire'
import { Effect } from 'effect'

/** One request as it leaves the process. */
export interface SentRequest {
	method: string
	path: string
	body: unknown
}

/** Runs `work` with the same response to each request; returns the requests in their order. */
export const requestsOf = async (
	answer: Pick<HttpResponse, 'status' | 'body'>,
	work: (httpClient: HttpClient) => Effect.Effect<unknown, unknown>,
): Promise<SentRequest[]> => {
	const sent: SentRequest[] = []
	const httpClient: HttpClient = {
		request: (_address, method, path, body) => {
			sent.push({ method, path, body: body === undefined ? null : decode(encode(body)) })
			return Effect.succeed({ ...answer, retryAfterS: null })
		},
	}
	await Effect.runPromise(Effect.ignore(work(httpClient)))
	return sent
}

/** The body of the only request that `work` makes. */
export const bodySentBy = async (
	work: (httpClient: HttpClient) => Effect.Effect<unknown, unknown>,
): Promise<unknown> => {
	const [request] = await requestsOf({ status: 200, body: { epoch: 1 } }, work)
	return request.body
}

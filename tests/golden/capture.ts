/**
 * What a client of another program sends: a caller that answers nothing of its own and keeps the request.
 */
import { decode, encode, type HttpClient, type HttpResponse } from '@heathroad/wire'
import { Effect } from 'effect'

/** One request as it leaves the process. */
export interface SentRequest {
	method: string
	path: string
	body: unknown
}

/** Runs what makes requests; each is answered by the same value. The requests, in their order. */
export const requestsOf = async (
	answer: Pick<HttpResponse, 'status' | 'body'>,
	work: (caller: HttpClient) => Effect.Effect<unknown, unknown>,
): Promise<SentRequest[]> => {
	const sent: SentRequest[] = []
	const caller: HttpClient = {
		request: (_address, method, path, body) => {
			sent.push({ method, path, body: body === undefined ? null : decode(encode(body)) })
			return Effect.succeed({ ...answer, retryAfterS: null })
		},
	}
	await Effect.runPromise(Effect.ignore(work(caller)))
	return sent
}

/** The body of the one request that something makes. */
export const bodySentBy = async (
	work: (caller: HttpClient) => Effect.Effect<unknown, unknown>,
): Promise<unknown> => {
	const [request] = await requestsOf({ status: 200, body: { epoch: 1 } }, work)
	return request.body
}

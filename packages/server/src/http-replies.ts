/** HTTP replies shared by several handlers. */
import type { HttpReply } from '@heathroad/wire'

/** The job is proven never to have been accepted. */
export const NO_SUCH_JOB: HttpReply = { status: 404, body: { error: 'no such job' } }
/** No handler serves the path. */
export const NO_SUCH_PATH: HttpReply = { status: 404, body: { error: 'no such path' } }
/** The path does not support the method. */
export const METHOD_NOT_ALLOWED: HttpReply = { status: 405, body: { error: 'method not allowed' } }

/** Asks a machine or the load balancer to retry after a second because the request cannot be served now. */
export const UNAVAILABLE: HttpReply = { status: 503, retryAfterS: 1 }

/** Asks a user to retry after some seconds. */
export const retryLater = (retryAfterS = 1, status = 503): HttpReply => ({
	status,
	body: { error: 'come back later' },
	retryAfterS,
})

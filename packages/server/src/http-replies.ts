/** Replies that several HTTP calls share. */
import type { HttpReply } from '@heathroad/wire'

/** The job is not known here, and nobody has submitted it as of now. */
export const NO_SUCH_JOB: HttpReply = { status: 404, body: { error: 'no such job' } }
/** The path is not served. */
export const NO_SUCH_PATH: HttpReply = { status: 404, body: { error: 'no such path' } }
/** The path is served, but not with this method. */
export const METHOD_NOT_ALLOWED: HttpReply = { status: 405, body: { error: 'method not allowed' } }

/** Asks a machine or the load balancer to retry after a second: nothing can be decided now. */
export const UNAVAILABLE: HttpReply = { status: 503, retryAfterS: 1 }

/** Asks a user to retry after some seconds. */
export const retryLater = (retryAfterS = 1, status = 503): HttpReply => ({
	status,
	body: { error: 'come back later' },
	retryAfterS,
})

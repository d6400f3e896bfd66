/** HTTP client for requests between controllers. */
import { Effect } from 'effect'
import type { MembershipContext } from './membership-context.js'
import { PEER_REQUEST_TIMEOUT } from './membership-ratios.js'

/** HTTP path of status messages. */
export const STATUS_PATH = '/peer/news'
/** HTTP path of requests for takeover promises. */
export const PROMISE_PATH = '/peer/promise'

/** Sends a request to a peer. Succeeds with the body of the response, or with null if none arrives or it is an error. */
export const postToPeer = (
	{ httpClient, limits }: Pick<MembershipContext, 'httpClient' | 'limits'>,
	address: string,
	path: string,
	body: unknown,
): Effect.Effect<unknown> =>
	httpClient.request(address, 'POST', path, body, limits.controllerLeaseMs * PEER_REQUEST_TIMEOUT).pipe(
		Effect.match({
			onFailure: () => null,
			onSuccess: (answer) => (answer.status === 200 ? answer.body : null),
		}),
	)

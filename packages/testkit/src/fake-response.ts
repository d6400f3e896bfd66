/** Responses of the fake services. */

/** An HTTP response with its decoded body. */
export interface FakeResponse {
	status: number
	body: unknown
}

/** A successful response. */
export const ok = (body: unknown): FakeResponse => ({ status: 200, body })

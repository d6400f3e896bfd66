/** Client of the cloud's API: the catalog of machine types, and renting and releasing machines. */
import {
	encodeReleaseRequest,
	encodeRentalRequest,
	type HttpClient,
	type HttpResponse,
	isNoCapacity,
	type MachineType,
	parseMachineIds,
	parseMachineTypes,
	type RentalRequest,
} from '@heathroad/wire'
import { Effect } from 'effect'
import { TokenBucket } from './token-bucket.js'

/** Outcome of a rental request. */
export type RentResult =
	| { kind: 'rented'; machineIds: string[] }
	/** the cloud has no capacity for the offer */
	| { kind: 'none' }
	/** the request was not executed, or its outcome is unknown: it must be retried with the same name */
	| { kind: 'again' }
	/** the cloud rejected the request as invalid */
	| { kind: 'invalid' }

const HTTP_OK = 200
const HTTP_BAD_REQUEST = 400
const HTTP_SERVICE_UNAVAILABLE = 503

const toRentResult = (response: HttpResponse | null): RentResult => {
	if (response === null) return { kind: 'again' }
	const { status, body } = response
	if (status === HTTP_OK) {
		const machineIds = parseMachineIds(body)
		return machineIds === null ? { kind: 'again' } : { kind: 'rented', machineIds }
	}
	if (status === HTTP_SERVICE_UNAVAILABLE && isNoCapacity(body)) return { kind: 'none' }
	return status === HTTP_BAD_REQUEST ? { kind: 'invalid' } : { kind: 'again' }
}

/** Client of the cloud's API that keeps within this controller's share of the call rate. */
export class CloudClient {
	private readonly callRate: TokenBucket

	/** `address` is the API's IP:PORT; `now` is a monotonic clock in ms. */
	constructor(
		private readonly httpClient: HttpClient,
		private readonly address: string,
		callsPerS: number,
		private readonly timeoutMs: number,
		now: () => number,
	) {
		this.callRate = new TokenBucket(callsPerS, now)
	}

	/** Number of calls that would be sent without a delay. */
	availableCalls(): number {
		return this.callRate.availableCalls()
	}

	/** Waits for its turn, then sends a request; null: there was no usable response. */
	private call(method: string, path: string, body: unknown): Effect.Effect<HttpResponse | null> {
		return this.callRate.take().pipe(
			Effect.andThen(this.httpClient.request(this.address, method, path, body, this.timeoutMs)),
			Effect.option,
			Effect.map((response) => (response._tag === 'Some' ? response.value : null)),
		)
	}

	/** Fetches the catalog; null: it could not be fetched or is malformed. */
	fetchMachineTypes(): Effect.Effect<MachineType[] | null> {
		return this.call('GET', '/catalog', undefined).pipe(
			Effect.map((response) => (response?.status === HTTP_OK ? parseMachineTypes(response.body) : null)),
		)
	}

	/** Rents machines. The cloud executes a request only once, however often it is sent with the same name. */
	rent(request: RentalRequest): Effect.Effect<RentResult> {
		return this.call('POST', '/hosts', encodeRentalRequest(request)).pipe(Effect.map(toRentResult))
	}

	/** Releases machines to the cloud; true: it confirmed that they are gone with everything that ran on them. */
	releaseMachines(ids: readonly string[]): Effect.Effect<boolean> {
		return this.call('POST', '/hosts/release', encodeReleaseRequest(ids)).pipe(
			Effect.map((response) => response?.status === HTTP_OK),
		)
	}
}

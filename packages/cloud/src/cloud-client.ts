/** Client of the cloud: its catalog of machine types, rentals and returns of machines. */
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
	/** the request was not carried out, or its outcome is unknown: it has to be sent again with the same name */
	| { kind: 'again' }
	/** the cloud rejects the request */
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

/** The cloud's interface, within this controller's share of its call rate. */
export class CloudClient {
	private readonly callRate: TokenBucket

	/** `address` is IP:PORT, `now` a clock in ms. */
	constructor(
		private readonly httpClient: HttpClient,
		private readonly address: string,
		callsPerS: number,
		private readonly timeoutMs: number,
		now: () => number,
	) {
		this.callRate = new TokenBucket(callsPerS, now)
	}

	/** Calls that would be sent at once. */
	availableCalls(): number {
		return this.callRate.availableCalls()
	}

	/** Waits for its turn, then sends a request; null: no usable response. */
	private call(method: string, path: string, body: unknown): Effect.Effect<HttpResponse | null> {
		return this.callRate.take().pipe(
			Effect.andThen(this.httpClient.request(this.address, method, path, body, this.timeoutMs)),
			Effect.option,
			Effect.map((response) => (response._tag === 'Some' ? response.value : null)),
		)
	}

	/** The catalog; null: it could not be fetched or is malformed. */
	fetchMachineTypes(): Effect.Effect<MachineType[] | null> {
		return this.call('GET', '/catalog', undefined).pipe(
			Effect.map((response) => (response?.status === HTTP_OK ? parseMachineTypes(response.body) : null)),
		)
	}

	/** Rents machines. A request with the same name is not carried out twice. */
	rent(request: RentalRequest): Effect.Effect<RentResult> {
		return this.call('POST', '/hosts', encodeRentalRequest(request)).pipe(Effect.map(toRentResult))
	}

	/** Returns machines; true: the cloud confirmed that they and all that ran on them are gone. */
	returnMachines(ids: readonly string[]): Effect.Effect<boolean> {
		return this.call('POST', '/hosts/release', encodeReleaseRequest(ids)).pipe(
			Effect.map((response) => response?.status === HTTP_OK),
		)
	}
}

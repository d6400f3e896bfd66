/** MessagePack, the encoding of every message, and the type checks of decoded values that all parsers share. */
import { Packr } from 'msgpackr/pack'

/** The largest body that any interface of the service accepts or sends. */
export const MAX_BODY_BYTES = 64 * 1024

/** The media type of all bodies. */
export const CONTENT_TYPE = 'application/msgpack'

/** An integer below 2^64; decoded as a number if a double holds it exactly, else as a bigint. */
export type WireInteger = number | bigint

// Plain MessagePack without records or an extension for `undefined`, so that clients in any language can read it.
const packr = new Packr({
	useRecords: false,
	mapsAsObjects: true,
	// 'auto' decodes to a number if a double is exact, else to a bigint; the library's typings lack it.
	int64AsType: 'auto' as 'number',
	encodeUndefinedAsNil: true,
	variableMapSize: true,
})

/** Encodes a value as MessagePack. */
export const encode = (value: unknown): Buffer => packr.pack(value) as Buffer

/** Decodes one value; throws if the bytes are not MessagePack. */
export const decode = (body: Uint8Array): unknown => packr.unpack(body)

/** The largest integer that the encoder writes as an integer when it is a plain number: 2^32 - 1. */
const MAX_PLAIN_INTEGER = 0xffffffff

/** Converts integers of 2^32 and more to 64-bit integers; as plain numbers they would be encoded as floats. */
export const toWireInteger = (integer: WireInteger): WireInteger =>
	typeof integer === 'number' && integer > MAX_PLAIN_INTEGER ? BigInt(integer) : integer

/** Returns whether a decoded value is a map. */
export const isMap = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype

/** Returns whether a decoded value is an integer from 0 to 2^64 - 1. */
export const isWireInteger = (value: unknown): value is WireInteger =>
	typeof value === 'bigint'
		? value >= 0n && value < 1n << 64n
		: typeof value === 'number' && Number.isInteger(value) && value >= 0

/** MessagePack, the encoding of every message, and the checks of decoded values that all parsers share. */
import { Packr } from 'msgpackr/pack'

/** The largest body that any interface of the service accepts or sends. */
export const MAX_BODY_BYTES = 64 * 1024

/** The media type of all bodies. */
export const CONTENT_TYPE = 'application/msgpack'

/** Integers on the wire reach 2^64; they stay numbers while a double holds them exactly. */
export type WireInteger = number | bigint

// Plain MessagePack only: no records, no extension for `undefined`, nothing that a client in another
// language could not read.
const packr = new Packr({
	useRecords: false,
	mapsAsObjects: true,
	// The typings lack 'auto': a number where a double is exact, else a bigint.
	int64AsType: 'auto' as 'number',
	encodeUndefinedAsNil: true,
	variableMapSize: true,
})

/** Encodes a value. */
export const encode = (value: unknown): Buffer => packr.pack(value) as Buffer

/** Decodes one value; throws if the bytes are not MessagePack. */
export const decode = (body: Uint8Array): unknown => packr.unpack(body)

/** The largest integer that the encoder writes as an integer when it is a plain number: 2^32 - 1. */
const MAX_PLAIN_INTEGER = 0xffffffff

/** Converts integers above 2^32 to 64-bit integers; as plain numbers they would be written as floats. */
export const toWireInteger = (integer: WireInteger): WireInteger =>
	typeof integer === 'number' && integer > MAX_PLAIN_INTEGER ? BigInt(integer) : integer

/** Is a decoded value a map? */
export const isMap = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype

/** Is a decoded value an integer from 0 to 2^64 - 1? */
export const isWireInteger = (value: unknown): value is WireInteger =>
	typeof value === 'bigint'
		? value >= 0n && value < 1n << 64n
		: typeof value === 'number' && Number.isInteger(value) && value >= 0

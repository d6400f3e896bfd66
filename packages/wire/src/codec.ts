import { Packr } from 'msgpackr/pack'

/** The largest body that any interface of the service takes or gives. */
export const MAX_BODY_BYTES = 64 * 1024

/** Integers on the wire reach 2^64; they stay numbers while a double holds them exactly. */
export type WireInteger = number | bigint

// Plain MessagePack only: no records, no extension for `undefined`, nothing that a client in another
// language could not read.
const packr = new Packr({
	useRecords: false,
	mapsAsObjects: true,
	// The typings lack it: a number where a double is exact, else a bigint.
	int64AsType: 'auto' as 'number',
	encodeUndefinedAsNil: true,
	variableMapSize: true,
})

export const encode = (value: unknown): Buffer => packr.pack(value) as Buffer

export const decode = (body: Uint8Array): unknown => packr.unpack(body)

/** Integers above 2^32 go out as 64-bit integers; as plain numbers they would be written as floats. */
export const toWireInteger = (n: WireInteger): WireInteger =>
	typeof n === 'number' && n > 0xffffffff ? BigInt(n) : n

export const isMap = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype

export const isWireInteger = (value: unknown): value is WireInteger =>
	typeof value === 'bigint'
		? value >= 0n && value < 1n << 64n
		: typeof value === 'number' && Number.isInteger(value) && value >= 0

/**
 * Golden fixtures: files below `tests/fixtures/golden/` that hold the bytes of everything that is stored or sent.
 * They are plain data and know none of the code's names. Run with `UPDATE=1` a test writes its fixtures instead of
 * comparing with them; a fixture that is absent fails the test.
 */
import assert from 'node:assert/strict'
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { encode } from '@heathroad/wire'

const DIRECTORY = join('tests', 'fixtures', 'golden')

/** Are fixtures written instead of compared? Only by hand: never where CI says so of itself. */
export const updating = process.env.UPDATE === '1' && process.env.CI === undefined

/** The place of a fixture, relative to the root of the repository. */
export const fixturePath = (name: string): string => join(DIRECTORY, name)

/** The text of a fixture. Fails if there is none. */
export const readFixture = (name: string): string => {
	const path = fixturePath(name)
	assert.ok(existsSync(path), `${path} is absent; it has to be committed, and UPDATE=1 makes it`)
	return readFileSync(path, 'utf8')
}

/** Writes the text of a fixture. */
export const writeFixture = (name: string, text: string): void => {
	const path = fixturePath(name)
	mkdirSync(dirname(path), { recursive: true })
	writeFileSync(path, text)
}

/** Integers beyond a double's are shown as text. */
const viewed = (_key: string, value: unknown): unknown => (typeof value === 'bigint' ? `${value}n` : value)

/** A value as a person reads it in a fixture; JSON knows neither bigints nor `undefined`. */
export const viewOf = (value: unknown): unknown =>
	value === undefined ? null : JSON.parse(JSON.stringify(value, viewed))

/** The bytes of a value as they are stored or sent, as hexadecimal digits. */
export const bytesOf = (value: unknown): string => encode(value).toString('hex')

/** A fixture's JSON, in lines, so that a difference shows as one. */
export const fixtureText = (value: unknown): string => `${JSON.stringify(value, null, '\t')}\n`

/**
 * Golden fixtures: files below `tests/fixtures/golden/` that hold the bytes of everything that is stored or sent.
 * They are plain data, independent of names in the code. With `UPDATE=1` a test writes its fixtures instead of
 * comparing with them; otherwise a missing fixture fails the test.
 */
import assert from 'node:assert/strict'
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { encode } from '@heathroad/wire'

const DIRECTORY = join('tests', 'fixtures', 'golden')

/** Whether fixtures are written instead of compared. Only for manual runs: never with `CI` set. */
export const isUpdating = process.env.UPDATE === '1' && process.env.CI === undefined

/** The path of a fixture, relative to the root of the repository. */
export const fixturePath = (name: string): string => join(DIRECTORY, name)

/** The text of a fixture. Fails if the file is missing. */
export const readFixture = (name: string): string => {
	const path = fixturePath(name)
	assert.ok(existsSync(path), `${path} is missing: create it with UPDATE=1 and commit it`)
	return readFileSync(path, 'utf8')
}

/** Writes the text of a fixture. */
export const writeFixture = (name: string, text: string): void => {
	const path = fixturePath(name)
	mkdirSync(dirname(path), { recursive: true })
	writeFileSync(path, text)
}

/** JSON has no bigints: they are shown as text. */
const replaceBigint = (_key: string, value: unknown): unknown =>
	typeof value === 'bigint' ? `${value}n` : value

/** A readable view of a value for a fixture; JSON has neither bigints nor `undefined`. */
export const viewOf = (value: unknown): unknown =>
	value === undefined ? null : JSON.parse(JSON.stringify(value, replaceBigint))

/** The bytes of a value as they are stored or sent, as hexadecimal digits. */
export const bytesOf = (value: unknown): string => encode(value).toString('hex')

/** A fixture as JSON over several lines, so that a difference shows in its line. */
export const fixtureText = (value: unknown): string => `${JSON.stringify(value, null, '\t')}\n`

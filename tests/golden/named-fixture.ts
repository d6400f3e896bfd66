/**
 * A JSON fixture of named values: a test compares with it entry by entry, and rewrites it with `UPDATE=1`.
 */
import assert from 'node:assert/strict'
import { fixtureText, isUpdating, readFixture, viewOf, writeFixture } from './fixtures.js'

export class NamedFixture {
	private readonly compared: Record<string, unknown> = {}
	private readonly golden: Record<string, unknown>

	constructor(private readonly file: string) {
		this.golden = isUpdating ? {} : JSON.parse(readFixture(file))
	}

	/** Asserts that the fixture holds this value under the name. */
	assertSame(name: string, value: unknown): void {
		assert.ok(!(name in this.compared), `${name} occurs twice`)
		this.compared[name] = viewOf(value)
		if (isUpdating) this.golden[name] = this.compared[name]
		assert.deepEqual(this.compared[name], this.golden[name], name)
	}

	/** Asserts that every entry of the fixture was compared. Call it last. */
	assertComplete(): void {
		if (isUpdating) writeFixture(this.file, fixtureText(this.compared))
		assert.deepEqual(
			Object.keys(this.compared).sort(),
			Object.keys(JSON.parse(readFixture(this.file))).sort(),
		)
	}
}

/**
 * A fixture of named values: JSON that a test compares with, entry by entry, and writes anew with `UPDATE=1`.
 */
import assert from 'node:assert/strict'
import { fixtureText, readFixture, updating, viewOf, writeFixture } from './fixtures.js'

export class NamedFixture {
	private readonly found: Record<string, unknown> = {}
	private readonly golden: Record<string, unknown>

	constructor(private readonly file: string) {
		this.golden = updating ? {} : JSON.parse(readFixture(file))
	}

	/** The value must be what the fixture holds under the name. */
	same(name: string, value: unknown): void {
		assert.ok(!(name in this.found), `${name} stands twice`)
		this.found[name] = viewOf(value)
		if (updating) this.golden[name] = this.found[name]
		assert.deepEqual(this.found[name], this.golden[name], name)
	}

	/** Everything that the fixture holds was compared. To be called last. */
	complete(): void {
		if (updating) writeFixture(this.file, fixtureText(this.found))
		assert.deepEqual(Object.keys(this.found).sort(), Object.keys(JSON.parse(readFixture(this.file))).sort())
	}
}

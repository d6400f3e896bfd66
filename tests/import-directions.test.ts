/** Packages import only the packages below them, as docs/architecture.md allows: guards against dependency cycles. */
import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'

const ALLOWED: Record<string, readonly string[]> = {
	wire: [],
	config: [],
	logging: [],
	store: ['wire'],
	cloud: ['wire'],
	policy: ['wire'],
	cluster: ['config', 'logging', 'store', 'wire'],
	history: ['store', 'wire'],
	controller: ['cloud', 'cluster', 'config', 'logging', 'policy', 'store', 'wire'],
	server: ['cloud', 'cluster', 'config', 'controller', 'history', 'logging', 'policy', 'store', 'wire'],
	events: ['cluster'],
	'plugin-api': ['wire'],
	proto: ['wire'],
	client: ['proto', 'wire'],
	inspect: ['cluster', 'history', 'store', 'wire'],
	plugins: ['config', 'controller', 'logging', 'plugin-api'],
	grpc: ['cluster', 'config', 'events', 'history', 'proto', 'server', 'store', 'wire'],
	metrics: ['plugins'],
	daemon: ['config', 'grpc', 'logging', 'metrics', 'plugin-api', 'plugins', 'server', 'wire'],
	cli: ['client', 'config', 'daemon', 'inspect', 'plugin-api', 'plugins', 'store', 'wire'],
	testkit: [
		'client',
		'cluster',
		'config',
		'controller',
		'daemon',
		'events',
		'grpc',
		'plugin-api',
		'plugins',
		'proto',
		'server',
		'wire',
	],
	lab: ['history', 'plugins', 'store', 'testkit', 'wire'],
}

const sourceFiles = (directory: string): string[] =>
	readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
		const path = join(directory, entry.name)
		if (entry.isDirectory()) return sourceFiles(path)
		return entry.name.endsWith('.ts') ? [path] : []
	})

const importedBy = (name: string): string[] => {
	const found = new Set<string>()
	for (const file of sourceFiles(`packages/${name}/src`))
		for (const [, imported] of readFileSync(file, 'utf8').matchAll(/['"]@heathroad\/([a-z-]+)['"]/g))
			if (imported !== name) found.add(imported)
	return [...found]
}

test('allowed imports are listed for every package, lower packages first', () => {
	assert.deepEqual(readdirSync('packages').sort(), Object.keys(ALLOWED).sort())
	const level = new Map(Object.keys(ALLOWED).map((name, index) => [name, index]))
	for (const [name, allowed] of Object.entries(ALLOWED))
		for (const below of allowed)
			assert.ok(level.get(below)! < level.get(name)!, `${name} may import ${below}, which is listed after it`)
})

for (const [name, allowed] of Object.entries(ALLOWED))
	test(`packages/${name} imports only packages below it`, () => {
		const wrong = importedBy(name).filter((imported) => !allowed.includes(imported))
		assert.deepEqual(wrong, [])
	})

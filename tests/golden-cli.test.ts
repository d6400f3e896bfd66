/**
 * Runs the commands of the command line against a server with fixed responses, and compares with
 * `tests/fixtures/golden/cli.json`: the requests, output, exit code, and the lists of commands and options. Sentences on
 * standard error and in help texts are not compared.
 */
import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import { type HttpRequest, startHttpServer } from '@heathroad/server'
import { plainSettings } from '@heathroad/testkit'
import type { HttpReply } from '@heathroad/wire'
import { fixturePath } from './golden/fixtures.js'
import { NamedFixture } from './golden/named-fixture.js'

const MAIN = join('target', 'main.cjs')
const fixture = new NamedFixture('cli.json')
const directory = mkdtempSync(join(tmpdir(), 'heathroad-golden-'))
after(() => rmSync(directory, { recursive: true }))

const PLUGIN = {
	name: 'budget',
	version: '1.2.0',
	condition: 'ready',
	queued: 1,
	asked: 2,
	answered: 3,
	unsure: 4,
	upgrades: 5,
	rollbacks: 6,
}

/** The server's responses, by method and path. */
const RESPONSES: Readonly<Record<string, HttpReply>> = {
	'POST /v2/runs': { status: 201, body: { uid: 'job-000412', status: 'pending' } },
	'GET /v2/runs/job-000412': {
		status: 200,
		body: { uid: 'job-000412', status: 'done', done: 9, running: 0 },
	},
	'GET /v2/runs/job-000413': {
		status: 200,
		body: { uid: 'job-000413', status: 'running', done: 3, running: 2 },
	},
	'GET /v2/runs/job-000414': { status: 404, body: { error: 'no such job' } },
	'POST /v2/runs/job-000412/withdraw': {
		status: 200,
		body: { uid: 'job-000412', status: 'aborted', done: 3, running: 0 },
	},
	'POST /admin/plugins': { status: 200, body: { plugins: [PLUGIN, { ...PLUGIN, version: null }] } },
	'POST /admin/disable': { status: 200, body: { plugins: [PLUGIN] } },
	'POST /admin/enable': { status: 404, body: { error: 'no plug-in budget' } },
	'POST /admin/reload': { status: 200, body: { lines: ['[grpc] has changed: restart to take it over'] } },
	'POST /admin/drain': { status: 202, body: { phase: 'leaving' } },
}

const LIMITS = { idleTimeoutMs: 5000, requestTimeoutMs: 5000, maxSockets: 100 }

/** Runs one command against such a server; `<server>` in its arguments stands for the address. */
const run = async (args: readonly string[]) => {
	assert.ok(existsSync(MAIN), `${MAIN} is missing: npm run build`)
	const requests: HttpRequest[] = []
	const server = await startHttpServer('127.0.0.1:0', LIMITS, (request, reply) => {
		requests.push(request)
		reply(RESPONSES[`${request.method} ${request.path}`] ?? { status: 404, body: { error: 'unexpected' } })
	})
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
	const child = spawn(process.execPath, [MAIN, ...args.map((arg) => (arg === '<server>' ? address : arg))])
	const withPlaceholders = (text: string) =>
		text.replaceAll(address, '<server>').replaceAll(directory, '<directory>')
	let out = ''
	let err = ''
	child.stdout.on('data', (chunk) => {
		out += chunk
	})
	child.stderr.on('data', (chunk) => {
		err += chunk
	})
	const code = await new Promise((done) => child.on('close', done))
	server.closeAllConnections()
	server.close()
	const sent = requests.map(({ method, path, body }) => ({ method, path, body: body ?? null }))
	return { requests: sent, out: withPlaceholders(out).split('\n'), complains: err !== '', code }
}

/** The commands and options that a help text lists, without their descriptions. */
const listedNames = (help: readonly string[]): string[] =>
	help.flatMap((line) => /^ {2}(\S.*?)(?: {2,}|$)/.exec(line)?.[1] ?? [])

const JOB = ['job-000412', '--class', 'risk', '--team', 'core', '--image', 'img']
const ALL_OPTIONS =
	'--image-gb 1.5 --kind gang --priority urgent --tasks 9 --cpus 2 --gpus 1 --ram-gb 4 --types box,g8 --zone a ' +
	'--same-place --apart --spot --expected-s 30 --checkpoint-s 10 --save-s 2 --due-s 3600'

const COMMANDS: readonly (readonly string[])[] = [
	['submit', ...JOB, '--server', '<server>', '--json'],
	['submit', ...JOB, ...ALL_OPTIONS.split(' '), '--server', '<server>', '--no-json'],
	['submit', ...JOB, '--server', '<server>', '--json', '--wait'],
	['status', 'job-000412', '--server', '<server>', '--json'],
	['status', 'job-000413', '--server', '<server>', '--json'],
	['status', 'job-000413', '--server', '<server>', '--no-json'],
	['status', 'job-000414', '--server', '<server>', '--json'],
	['cancel', 'job-000412', '--server', '<server>', '--json'],
	['cancel', 'job-000412', '--server', '<server>', '--no-json'],
	['watch', 'job-000412', '--server', '<server>', '--json'],
	['watch', 'job-000412', '--server', '<server>', '--no-json'],
	['plugins', 'list', '--admin', '<server>', '--json'],
	['plugins', 'list', '--admin', '<server>', '--no-json'],
	['plugins', 'disable', 'budget', '--admin', '<server>', '--json'],
	['plugins', 'enable', 'budget', '--admin', '<server>', '--json'],
	['plugins', 'reload', '--admin', '<server>', '--json'],
	['plugins', 'reload', '--admin', '<server>', '--no-json'],
	['drain', '--admin', '<server>', '--json'],
	['drain', '--admin', '<server>', '--no-json'],
	['state', 'diff', fixturePath('snapshot-archived.jsonl'), fixturePath('snapshot-plugins.jsonl')],
	['state', 'diff', fixturePath('snapshot-late.jsonl'), fixturePath('snapshot-late.jsonl')],
]

const HELP_COMMANDS: readonly string[] = [
	'',
	'serve',
	'check-config',
	'submit',
	'status',
	'cancel',
	'watch',
	'plugins',
	'plugins list',
	'plugins disable',
	'state',
	'state check',
	'state import',
	'drain',
]

for (const args of COMMANDS)
	test(`heathroad ${args.join(' ')}`, async () => {
		fixture.assertSame(args.join(' '), await run(args))
	})

for (const command of HELP_COMMANDS)
	test(`heathroad ${command} --help`, async () => {
		const { out, code } = await run([...command.split(' ').filter((word) => word !== ''), '--help'])
		fixture.assertSame(`help: ${command}`, { lists: listedNames(out), code })
	})

test('heathroad check-config', async () => {
	const path = join(directory, 'settings.json')
	writeFileSync(path, JSON.stringify(plainSettings('ctl-0', ['ctl-1', 'ctl-2'])))
	fixture.assertSame('check-config', await run(['check-config', '--config', path]))
	writeFileSync(path, JSON.stringify({ host_name: 'ctl-0' }))
	fixture.assertSame('check-config: settings that lack much', await run(['check-config', '--config', path]))
})

test('every command of the fixture was compared', () => fixture.assertComplete())
